#include "jsonreader.h"

#include <algorithm>
#include <cctype>
#include <set>
#include <sstream>

namespace medlarkeel {

namespace {

constexpr std::size_t kMaximumFoundLength = 60; // characters
constexpr std::size_t kMaximumNameLength = 64;  // characters

bool
IsNameCharacter(char aCharacter)
{
  const auto byte = static_cast<unsigned char>(aCharacter);
  return byte < 0x80 && (std::isalnum(byte) != 0 || aCharacter == '.' ||
                         aCharacter == '-' || aCharacter == '_');
}

bool
IsName(std::string_view aText)
{
  return !aText.empty() && aText.size() <= kMaximumNameLength &&
         std::all_of(aText.begin(), aText.end(), IsNameCharacter);
}

std::string
Shortened(std::string aText)
{
  if (aText.size() > kMaximumFoundLength) {
    aText.resize(kMaximumFoundLength);
    aText += "...";
  }
  return aText;
}

std::string
AsciiDump(const nlohmann::json& aValue)
{
  return aValue.dump(-1, ' ', true);
}

std::string
FoundText(const nlohmann::json& aValue)
{
  if (aValue.is_object()) {
    return "an object";
  }
  if (aValue.is_array()) {
    return "an array of " + std::to_string(aValue.size());
  }
  return Shortened(AsciiDump(aValue));
}

std::string
FoundSecret(const nlohmann::json& aValue)
{
  if (!aValue.is_string()) {
    return std::string("a value of type ") + aValue.type_name();
  }
  const auto length = aValue.get_ref<const std::string&>().size();
  return "text of " + std::to_string(length) + " bytes";
}

std::string
KeyPath(const std::string& aParent, std::string_view aKey)
{
  if (IsName(aKey)) {
    return aParent + "." + std::string(aKey);
  }
  const nlohmann::json key = std::string(aKey);
  return aParent + "[" + Shortened(AsciiDump(key)) + "]";
}

std::string
ItemPath(const std::string& aParent, std::size_t aIndex)
{
  return aParent + "[" + std::to_string(aIndex) + "]";
}

std::string
NumberText(double aNumber)
{
  std::ostringstream stream;
  stream << aNumber;
  return stream.str();
}

std::string
WithUnit(const std::string& aText, const char* aUnit)
{
  return *aUnit == '\0' ? aText : aText + " " + aUnit;
}

std::string
RangeText(const IntegerRange& aRange)
{
  return WithUnit("a whole number from " + std::to_string(aRange.mLeast) +
                    " to " + std::to_string(aRange.mMost),
                  aRange.mUnit);
}

std::string
RangeText(const NumberRange& aRange)
{
  const std::string least =
    (aRange.mLeastExcluded ? "above " : "from ") + NumberText(aRange.mLeast);
  const std::string most =
    (aRange.mMostExcluded ? " and below " : " to ") + NumberText(aRange.mMost);
  return WithUnit("a number " + least + most, aRange.mUnit);
}

bool
IsInside(double aValue, const NumberRange& aRange)
{
  const bool above =
    aRange.mLeastExcluded ? aValue > aRange.mLeast : aValue >= aRange.mLeast;
  const bool below =
    aRange.mMostExcluded ? aValue < aRange.mMost : aValue <= aRange.mMost;
  return above && below;
}

bool
IsAccepted(const nlohmann::json& aValue, const TextRule& aRule)
{
  const auto* text = aValue.get_ptr<const std::string*>();
  return text != nullptr &&
         (aRule.mAccepts == nullptr || aRule.mAccepts(*text));
}

/** Deepest nesting of arrays and objects; brackets in texts don't count. */
std::size_t
NestingDepth(std::string_view aText)
{
  std::size_t depth = 0;
  std::size_t deepest = 0;
  bool inText = false;
  for (std::size_t index = 0; index < aText.size(); ++index) {
    const char character = aText[index];
    if (inText) {
      index += character == '\\' ? 1 : 0;
      inText = character != '"';
    } else if (character == '"') {
      inText = true;
    } else if (character == '[' || character == '{') {
      deepest = std::max(deepest, ++depth);
    } else if ((character == ']' || character == '}') && depth > 0) {
      --depth;
    }
  }
  return deepest;
}

/** Follows the parser and reports keys that an object holds twice. */
class DuplicateKeyFinder
{
public:
  explicit DuplicateKeyFinder(ProblemList& aProblems)
    : mProblems(aProblems)
  {
  }

  void See(nlohmann::json::parse_event_t aEvent, const nlohmann::json& aValue)
  {
    using Event = nlohmann::json::parse_event_t;
    switch (aEvent) {
      case Event::object_start:
      case Event::array_start:
        mLevels.push_back({ aEvent == Event::array_start });
        break;
      case Event::object_end:
        CompareKeys(aValue.size());
        mLevels.pop_back();
        CountItem();
        break;
      case Event::array_end:
        mLevels.pop_back();
        CountItem();
        break;
      case Event::key:
        mLevels.back().mKeys.push_back(aValue.get_ref<const std::string&>());
        break;
      case Event::value:
        CountItem();
        break;
    }
  }

private:
  struct Level
  {
    bool mIsArray = false;
    std::size_t mItems = 0;
    std::vector<std::string> mKeys{};
  };

  void CountItem()
  {
    if (!mLevels.empty()) {
      ++mLevels.back().mItems;
    }
  }

  /** An object that lost keys to later ones has fewer than were read. */
  void CompareKeys(std::size_t aSize)
  {
    std::vector<std::string> keys = std::move(mLevels.back().mKeys);
    if (keys.size() == aSize) {
      return;
    }
    std::sort(keys.begin(), keys.end());
    for (auto key = std::adjacent_find(keys.begin(), keys.end());
         key != keys.end();
         key = std::adjacent_find(key, keys.end())) {
      mProblems.Add(
        KeyPath(PathOfLevel(), *key), "each key once", "the key a second time");
      key = std::upper_bound(key, keys.end(), *key);
    }
  }

  /** @return Path of the innermost array or object. */
  std::string PathOfLevel() const
  {
    std::string path = "$";
    for (std::size_t index = 0; index + 1 < mLevels.size(); ++index) {
      const Level& level = mLevels[index];
      path = level.mIsArray ? ItemPath(path, level.mItems)
                            : KeyPath(path, level.mKeys.back());
    }
    return path;
  }

  ProblemList& mProblems;
  std::vector<Level> mLevels;
};

} // namespace

const TextRule kNameRule{
  "a name of 1 to 64 letters, digits, dots, dashes or underscores",
  IsName
};

std::string
ProblemText(const DocumentProblem& aProblem)
{
  return aProblem.mPath + ": expected " + aProblem.mExpected + ", found " +
         aProblem.mFound;
}

void
ProblemList::Add(std::string aPath, std::string aExpected, std::string aFound)
{
  mProblems.push_back(
    { std::move(aPath), std::move(aExpected), std::move(aFound) });
}

std::optional<nlohmann::json>
ParseJson(std::string_view aText,
          const JsonLimits& aLimits,
          ProblemList& aProblems)
{
  if (aText.size() > aLimits.mBytes) {
    aProblems.Add("$",
                  "at most " + std::to_string(aLimits.mBytes) + " bytes",
                  std::to_string(aText.size()) + " bytes");
    return std::nullopt;
  }
  const std::size_t depth = NestingDepth(aText);
  if (depth > aLimits.mDepth) {
    aProblems.Add("$",
                  "at most " + std::to_string(aLimits.mDepth) +
                    " nested arrays and objects",
                  std::to_string(depth));
    return std::nullopt;
  }
  DuplicateKeyFinder finder(aProblems);
  try {
    nlohmann::json value = nlohmann::json::parse(
      aText, [&](int, nlohmann::json::parse_event_t aEvent, auto& aParsed) {
        finder.See(aEvent, aParsed);
        return true;
      });
    return value;
  } catch (const nlohmann::json::exception& error) {
    aProblems.Add("$", "JSON text", error.what());
    return std::nullopt;
  }
}

ObjectReader::ObjectReader(const nlohmann::json& aValue,
                           std::string aPath,
                           ProblemList& aProblems)
  : mPath(std::move(aPath))
  , mProblems(&aProblems)
{
  if (aValue.is_object()) {
    mObject = &aValue;
    return;
  }
  aProblems.Add(mPath, "an object", FoundText(aValue));
}

std::string
ObjectReader::PathOf(std::string_view aKey) const
{
  return KeyPath(mPath, aKey);
}

bool
ObjectReader::Has(const char* aKey) const
{
  return mObject != nullptr && mObject->contains(aKey);
}

const nlohmann::json*
ObjectReader::Find(const char* aKey)
{
  mAsked.push_back(aKey);
  if (mObject == nullptr) {
    return nullptr;
  }
  const auto found = mObject->find(aKey);
  return found == mObject->end() ? nullptr : &*found;
}

void
ObjectReader::AddMissing(const char* aKey,
                         Presence aPresence,
                         const std::string& aExpected)
{
  if (mObject != nullptr && aPresence == Presence::Required) {
    mProblems->Add(PathOf(aKey), aExpected, "nothing");
  }
}

void
ObjectReader::AddProblem(const char* aKey,
                         const std::string& aExpected,
                         const nlohmann::json& aFound)
{
  mProblems->Add(PathOf(aKey), aExpected, FoundText(aFound));
}

void
ObjectReader::Text(const char* aKey,
                   Presence aPresence,
                   const TextRule& aRule,
                   std::string& aOut)
{
  const nlohmann::json* value = Find(aKey);
  if (value == nullptr) {
    AddMissing(aKey, aPresence, aRule.mExpected);
    return;
  }
  if (IsAccepted(*value, aRule)) {
    aOut = value->get_ref<const std::string&>();
    return;
  }
  AddRefused(*value, PathOf(aKey), aRule);
}

void
ObjectReader::AddRefused(const nlohmann::json& aText,
                         const std::string& aPath,
                         const TextRule& aRule)
{
  mProblems->Add(aPath,
                 aRule.mExpected,
                 aRule.mSecret ? FoundSecret(aText) : FoundText(aText));
}

std::string
ObjectReader::ItemText(const nlohmann::json& aItem,
                       const std::string& aPath,
                       const TextRule& aRule)
{
  if (IsAccepted(aItem, aRule)) {
    return aItem.get<std::string>();
  }
  AddRefused(aItem, aPath, aRule);
  return {};
}

std::optional<std::int64_t>
ObjectReader::ReadInteger(const char* aKey,
                          Presence aPresence,
                          const IntegerRange& aRange)
{
  const nlohmann::json* value = Find(aKey);
  if (value == nullptr) {
    AddMissing(aKey, aPresence, RangeText(aRange));
    return std::nullopt;
  }
  const bool fits =
    value->is_number_integer() &&
    (!value->is_number_unsigned() ||
     value->get<std::uint64_t>() <= static_cast<std::uint64_t>(INT64_MAX));
  if (fits) {
    const auto number = value->get<std::int64_t>();
    if (number >= aRange.mLeast && number <= aRange.mMost) {
      return number;
    }
  }
  AddProblem(aKey, RangeText(aRange), *value);
  return std::nullopt;
}

void
ObjectReader::Number(const char* aKey,
                     Presence aPresence,
                     const NumberRange& aRange,
                     double& aOut)
{
  const nlohmann::json* value = Find(aKey);
  if (value == nullptr) {
    AddMissing(aKey, aPresence, RangeText(aRange));
    return;
  }
  if (value->is_number() && IsInside(value->get<double>(), aRange)) {
    aOut = value->get<double>();
    return;
  }
  AddProblem(aKey, RangeText(aRange), *value);
}

void
ObjectReader::Duration(const char* aKey,
                       Presence aPresence,
                       const IntegerRange& aRange,
                       Milliseconds& aOut)
{
  const auto value = ReadInteger(aKey, aPresence, aRange);
  if (value) {
    aOut = Milliseconds(*value);
  }
}

void
ObjectReader::Duration(const char* aKey,
                       const IntegerRange& aRange,
                       std::optional<Milliseconds>& aOut)
{
  const auto value = ReadInteger(aKey, Presence::Optional, aRange);
  if (value) {
    aOut = Milliseconds(*value);
  }
}

void
ObjectReader::Flag(const char* aKey, Presence aPresence, bool& aOut)
{
  const nlohmann::json* value = Find(aKey);
  if (value == nullptr) {
    AddMissing(aKey, aPresence, "true or false");
    return;
  }
  if (value->is_boolean()) {
    aOut = value->get<bool>();
    return;
  }
  AddProblem(aKey, "true or false", *value);
}

void
ObjectReader::Items(const char* aKey,
                    Presence aPresence,
                    const ItemReader& aReader)
{
  const nlohmann::json* value = Find(aKey);
  if (value == nullptr) {
    AddMissing(aKey, aPresence, "an array");
    return;
  }
  if (!value->is_array()) {
    AddProblem(aKey, "an array", *value);
    return;
  }
  const std::string path = PathOf(aKey);
  for (std::size_t index = 0; index < value->size(); ++index) {
    aReader((*value)[index], ItemPath(path, index));
  }
}

std::optional<ObjectReader>
ObjectReader::Nested(const char* aKey, Presence aPresence)
{
  const nlohmann::json* value = Find(aKey);
  if (value == nullptr) {
    AddMissing(aKey, aPresence, "an object");
    return std::nullopt;
  }
  return ObjectReader(*value, PathOf(aKey), *mProblems);
}

std::string
ObjectReader::Known() const
{
  const std::set<std::string> sorted(mAsked.begin(), mAsked.end());
  std::string known;
  for (const std::string& key : sorted) {
    known += (known.empty() ? "" : ", ") + key;
  }
  return known;
}

void
ObjectReader::RefuseUnknownKeys()
{
  if (mObject == nullptr) {
    return;
  }
  for (const auto& item : mObject->items()) {
    if (std::find(mAsked.begin(), mAsked.end(), item.key()) == mAsked.end()) {
      mProblems->Add(PathOf(item.key()), "only " + Known(), "an unknown key");
    }
  }
}

} // namespace medlarkeel
