#include "emulatedfleet.h"
#include "limitedservers.h"

#include <gflags/gflags.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>

DEFINE_string(plan, "", "load plan, a JSON file");
DEFINE_string(policies,
              "product,flat-weights",
              "policies to compare, separated by commas");
DEFINE_string(set,
              "",
              "settings that replace those of all policies, as "
              "NAME=VALUE separated by commas");
DEFINE_int32(seeds, 5, "seeds that each policy is played with");
DEFINE_string(limited_entries,
              "",
              "numbers of entries, separated by commas, with which ways to "
              "keep to the limit of a server are compared instead of a plan");
DEFINE_double(limit, 1.0, "requests per second that the server accepts");
DEFINE_double(limited_requests,
              10.0,
              "requests per second that would go to the limited server");
DEFINE_double(skew,
              1.0,
              "exponent of the distribution of these requests over the "
              "entries; 0 for equal numbers");
DEFINE_double(loss, 0.0, "share of the messages between entries that are lost");
DEFINE_string(json, "", "file that gets the results as JSON");

namespace medlarkeel {

namespace {

using Json = nlohmann::json;

constexpr int kUsageError = 2;
constexpr int kFileError = 1;

/** A way of choosing servers that can be compared with others. */
struct Policy
{
  const char* mName;
  BackendChooserSettings (*mSettings)();
  /** Whether requests are turned away under overload. */
  bool mRefuses = true;
  /** Whether the document states the memory of the engines. */
  bool mStatesEngineMemory = true;
};

BackendChooserSettings
Product()
{
  return {};
}

/** Weights that don't depend on the backlog. */
BackendChooserSettings
FlatWeights()
{
  BackendChooserSettings settings;
  settings.mPrefillWeightByBacklog = 0.0;
  settings.mDecodeCostTokens = 0.0;
  return settings;
}

BackendChooserSettings
FlatUnreadWeight()
{
  BackendChooserSettings settings;
  settings.mPrefillWeightByBacklog = 0.0;
  return settings;
}

BackendChooserSettings
NoStreamTokens()
{
  BackendChooserSettings settings;
  settings.mDecodeCostTokens = 0.0;
  return settings;
}

/** Least unread tokens, wherever the parts of a prompt are held. */
BackendChooserSettings
LeastLoaded()
{
  BackendChooserSettings settings = FlatWeights();
  settings.mPrefillWeight = 0.0;
  settings.mNonPreferredPenalty = 0.0;
  settings.mShortOnLongPenalty = 0.0;
  settings.mLongOnShortPenalty = 0.0;
  return settings;
}

/** Short prompts share all servers with long ones. */
BackendChooserSettings
NoSeparation()
{
  BackendChooserSettings settings;
  settings.mShortOnLongPenalty = 0.0;
  settings.mLongOnShortPenalty = 0.0;
  return settings;
}

constexpr std::array<Policy, 8> kPolicies{
  { { "product", Product },
    { "no-refusals", Product, false },
    { "no-engine-memory", Product, true, false },
    { "flat-weights", FlatWeights },
    { "flat-unread-weight", FlatUnreadWeight },
    { "no-stream-tokens", NoStreamTokens },
    { "least-loaded", LeastLoaded },
    { "no-separation", NoSeparation } }
};

/** Settings of the choice that --set may replace. */
struct ChooserSetting
{
  const char* mName;
  double BackendChooserSettings::*mValue;
};

constexpr std::array<ChooserSetting, 13> kChooserSettings{
  { { "unreadWeight", &BackendChooserSettings::mPrefillWeight },
    { "unreadWeightByBacklog",
      &BackendChooserSettings::mPrefillWeightByBacklog },
    { "longQueueTokens", &BackendChooserSettings::mLongQueueTokens },
    { "longQueueWeight", &BackendChooserSettings::mLongQueueWeight },
    { "fullBacklog", &BackendChooserSettings::mFullDecodeCostBacklog },
    { "streamTokens", &BackendChooserSettings::mDecodeCostTokens },
    { "shortElsewhereTokens", &BackendChooserSettings::mShortOnLongPenalty },
    { "longOnShortTokens", &BackendChooserSettings::mLongOnShortPenalty },
    { "otherZoneTokens", &BackendChooserSettings::mOtherZonePenalty },
    { "runningTokens", &BackendChooserSettings::mRunningRequestPenalty },
    { "beyondSlotsTokens", &BackendChooserSettings::mBeyondSlotsPenalty },
    { "notFirstTokens", &BackendChooserSettings::mNonPreferredPenalty },
    { "homeCachedShare", &BackendChooserSettings::mAssumedCachedShare } }
};

/** Settings of refusals that --set may replace. */
struct AdmissionSetting
{
  const char* mName;
  double AdmissionSettings::*mValue;
};

constexpr std::array<AdmissionSetting, 6> kAdmissionSettings{
  { { "firstRefusal", &AdmissionSettings::mPartialRefusalLoad },
    { "urgentRefused", &AdmissionSettings::mUrgentRefusalLoad },
    { "urgentBacklogShare", &AdmissionSettings::mUrgentBacklogTargetShare },
    { "allRefused", &AdmissionSettings::mFullRefusalLoad },
    { "fullPrecedenceTimeShare", &AdmissionSettings::mFullPrecedenceTimeShare },
    { "backlogShare", &AdmissionSettings::mBacklogTargetShare } }
};

/** @return Whether a setting has that name; it is replaced then. */
bool
Replace(const std::string& aName, double aValue, FleetPolicy& aPolicy)
{
  for (const ChooserSetting& setting : kChooserSettings) {
    if (aName == setting.mName) {
      aPolicy.mChooser.*setting.mValue = aValue;
      return true;
    }
  }
  for (const AdmissionSetting& setting : kAdmissionSettings) {
    if (aName == setting.mName) {
      if (aPolicy.mAdmission) {
        (*aPolicy.mAdmission).*setting.mValue = aValue;
      }
      return true;
    }
  }
  return false;
}

std::vector<std::string>
Split(const std::string& aText)
{
  std::vector<std::string> parts;
  std::size_t begin = 0;
  while (begin <= aText.size()) {
    const std::size_t end = std::min(aText.find(',', begin), aText.size());
    parts.push_back(aText.substr(begin, end - begin));
    begin = end + 1;
  }
  return parts;
}

/** Mean of values and half of its 95% interval. */
struct Estimate
{
  double mMean = 0.0;
  double mHalfWidth = 0.0;
};

Estimate
EstimateOf(const std::vector<double>& aValues)
{
  /** Of the normal distribution, for an interval that holds 95%. */
  constexpr double kDeviations = 1.96;
  Estimate estimate;
  const auto count = static_cast<double>(aValues.size());
  for (const double value : aValues) {
    estimate.mMean += value / count;
  }
  double squares = 0.0;
  for (const double value : aValues) {
    squares += (value - estimate.mMean) * (value - estimate.mMean);
  }
  if (aValues.size() > 1) {
    estimate.mHalfWidth =
      kDeviations * std::sqrt(squares / (count - 1.0) / count);
  }
  return estimate;
}

double
Median(std::vector<double> aValues)
{
  if (aValues.empty()) {
    return 0.0;
  }
  const auto middle =
    aValues.begin() + static_cast<std::ptrdiff_t>(aValues.size() / 2);
  std::nth_element(aValues.begin(), middle, aValues.end());
  return *middle;
}

/** @return The decisions of a policy with what --set replaces, or nothing
 * when --set can't be read. */
std::optional<FleetPolicy>
MakePolicy(const Policy& aPolicy)
{
  FleetPolicy policy;
  policy.mChooser = aPolicy.mSettings();
  policy.mStatesEngineMemory = aPolicy.mStatesEngineMemory;
  if (!aPolicy.mRefuses) {
    policy.mAdmission.reset();
  }
  if (FLAGS_set.empty()) {
    return policy;
  }
  for (const std::string& item : Split(FLAGS_set)) {
    const std::size_t equals = std::min(item.find('='), item.size());
    char* end = nullptr;
    const std::string value =
      equals < item.size() ? item.substr(equals + 1) : "";
    const double number = std::strtod(value.c_str(), &end);
    const bool isNumber = !value.empty() && *end == '\0';
    if (!isNumber || !Replace(item.substr(0, equals), number, policy)) {
      std::cerr << "can't use the setting \"" << item << "\"\n";
      return std::nullopt;
    }
  }
  return policy;
}

/** Plays one policy with all seeds and prints a line a class. */
Json
PlayPolicy(const Policy& aPolicy,
           const FleetPolicy& aDecisions,
           const LoadPlan& aPlan)
{
  std::vector<std::vector<double>> onTime(aPlan.mClasses.size());
  std::vector<std::vector<double>> medians(aPlan.mClasses.size());
  std::vector<std::vector<double>> refused(aPlan.mClasses.size());
  std::vector<double> readAgain;
  std::vector<double> readInVain;
  for (int seed = 1; seed <= FLAGS_seeds; ++seed) {
    std::cerr << aPolicy.mName << ": seed " << seed << " of " << FLAGS_seeds
              << '\n';
    EmulatedFleet fleet(aPlan, aDecisions, static_cast<std::uint64_t>(seed));
    const FleetOutcome outcome = fleet.Play();
    for (std::size_t i = 0; i < outcome.mClasses.size(); ++i) {
      onTime[i].push_back(outcome.mClasses[i].OnTimeShare());
      medians[i].push_back(Median(outcome.mClasses[i].mFirstEventMs));
      refused[i].push_back(outcome.mClasses[i].RefusedShare());
    }
    readInVain.push_back(static_cast<double>(outcome.mReadInVain));
    readAgain.push_back(static_cast<double>(outcome.mReadAgain));
  }
  constexpr double kThousand = 1000.0;
  const double again = EstimateOf(readAgain).mMean / kThousand;
  const double inVain = EstimateOf(readInVain).mMean / kThousand;
  Json result{ { "policy", aPolicy.mName },
               { "readAgainThousands", again },
               { "readInVainThousands", inVain } };
  for (std::size_t i = 0; i < onTime.size(); ++i) {
    const Estimate share = EstimateOf(onTime[i]);
    const double first = EstimateOf(medians[i]).mMean;
    const double away = EstimateOf(refused[i]).mMean;
    std::printf("%-20s %-12s %7.3f +- %.3f %8.3f %12.1f %14.0f %16.0f\n",
                aPolicy.mName,
                aPlan.mClasses[i].mName.c_str(),
                share.mMean,
                share.mHalfWidth,
                away,
                first,
                again,
                inVain);
    result["classes"].push_back({ { "class", aPlan.mClasses[i].mName },
                                  { "onTime", share.mMean },
                                  { "halfWidth", share.mHalfWidth },
                                  { "refused", away },
                                  { "medianFirstEventMs", first } });
  }
  return result;
}

int
RunLimitedServers()
{
  LimitedServerComparison comparison;
  for (const std::string& item : Split(FLAGS_limited_entries)) {
    const unsigned long entries = std::strtoul(item.c_str(), nullptr, 10);
    if (entries == 0) {
      std::cerr << "\"" << item << "\" is no number of entries\n";
      return kUsageError;
    }
    comparison.mEntries.push_back(entries);
  }
  comparison.mLimit = FLAGS_limit;
  comparison.mRequestsPerSecond = FLAGS_limited_requests;
  comparison.mSkew = FLAGS_skew;
  comparison.mLossShare = FLAGS_loss;
  comparison.mSeeds = FLAGS_seeds;
  CompareLimitedServers(comparison);
  return 0;
}

int
Run()
{
  if (!FLAGS_limited_entries.empty()) {
    return RunLimitedServers();
  }
  std::ifstream file(FLAGS_plan);
  if (!file) {
    std::cerr << "can't read the plan \"" << FLAGS_plan << "\"\n";
    return kUsageError;
  }
  const std::string text((std::istreambuf_iterator<char>(file)),
                         std::istreambuf_iterator<char>());
  const LoadPlanResult plan = ParseLoadPlan(text);
  if (!plan) {
    for (const DocumentProblem& problem : plan.error()) {
      std::cerr << ProblemText(problem) << '\n';
    }
    return kUsageError;
  }
  Json results = Json::array();
  std::printf("%-20s %-12s %-17s %8s %12s %14s %16s\n",
              "policy",
              "class",
              "on time",
              "refused",
              "median ms",
              "read again/1k",
              "read in vain/1k");
  for (const std::string& name : Split(FLAGS_policies)) {
    const auto* policy = std::find_if(
      kPolicies.begin(), kPolicies.end(), [&name](const Policy& aPolicy) {
        return name == aPolicy.mName;
      });
    if (policy == kPolicies.end()) {
      std::cerr << "no policy is named \"" << name << "\"\n";
      return kUsageError;
    }
    const std::optional<FleetPolicy> decisions = MakePolicy(*policy);
    if (!decisions) {
      return kUsageError;
    }
    results.push_back(PlayPolicy(*policy, *decisions, plan.value()));
  }
  if (!FLAGS_json.empty()) {
    std::ofstream out(FLAGS_json);
    out << results.dump(2) << '\n';
    if (!out) {
      std::cerr << "can't write \"" << FLAGS_json << "\"\n";
      return kFileError;
    }
  }
  return 0;
}

} // namespace

} // namespace medlarkeel

int
main(int aCount, char** aArguments)
{
  gflags::SetUsageMessage(
    "compares ways of choosing servers on the same arrivals");
  gflags::ParseCommandLineFlags(&aCount, &aArguments, true);
  return medlarkeel::Run();
}
