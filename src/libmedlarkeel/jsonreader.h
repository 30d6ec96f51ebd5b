#pragma once

#include "types.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace medlarkeel {

/** One mistake in a document or in settings. */
struct DocumentProblem
{
  /** Place of the mistake, for example `$.classes[2].tier`. */
  std::string mPath;
  /** What the place may hold, with its unit. */
  std::string mExpected;
  /** What it holds. */
  std::string mFound;
};

/** @return The problem as one line of text. */
std::string
ProblemText(const DocumentProblem& aProblem);

/** Collects the mistakes of a document, so that all are reported at once. */
class ProblemList
{
public:
  void Add(std::string aPath, std::string aExpected, std::string aFound);

  bool IsEmpty() const { return mProblems.empty(); }

  /** @return The problems in the order in which they were found. */
  std::vector<DocumentProblem> Take() { return std::move(mProblems); }

private:
  std::vector<DocumentProblem> mProblems;
};

struct JsonLimits
{
  std::size_t mBytes = 1U << 20U;
  std::size_t mDepth = 16; // nested arrays and objects
};

/**
 * Parses JSON text; refuses text beyond the limits and objects that hold a
 * key twice.
 *
 * @return The value, or nothing when a problem was added.
 */
std::optional<nlohmann::json>
ParseJson(std::string_view aText,
          const JsonLimits& aLimits,
          ProblemList& aProblems);

struct IntegerRange
{
  std::int64_t mLeast = 0;
  std::int64_t mMost = 0;
  const char* mUnit = "";
};

struct NumberRange
{
  double mLeast = 0.0;
  double mMost = 0.0;
  const char* mUnit = "";
  bool mLeastExcluded = false;
  bool mMostExcluded = false;
};

/** What a text may hold. */
struct TextRule
{
  const char* mExpected = "text";
  bool (*mAccepts)(std::string_view aText) = nullptr;
  /** Whether the text is kept out of problems. */
  bool mSecret = false;
};

/** A name: 1 to 64 letters, digits, dots, dashes or underscores. */
extern const TextRule kNameRule;

template<typename Value>
struct NamedValue
{
  const char* mText;
  Value mValue;
};

enum class Presence
{
  Required,
  Optional
};

/**
 * Reads the keys of one JSON object into variables, which keep their value
 * when the key is missing or wrong; mistakes go to the problem list.
 */
class ObjectReader
{
public:
  ObjectReader(const nlohmann::json& aValue,
               std::string aPath,
               ProblemList& aProblems);

  void Text(const char* aKey,
            Presence aPresence,
            const TextRule& aRule,
            std::string& aOut);

  template<typename Tag>
  void Name(const char* aKey, Presence aPresence, StrongId<Tag>& aOut)
  {
    std::string text = aOut.Text();
    Text(aKey, aPresence, kNameRule, text);
    aOut = StrongId<Tag>(std::move(text));
  }

  template<typename Integer>
  void Number(const char* aKey,
              Presence aPresence,
              const IntegerRange& aRange,
              Integer& aOut)
  {
    const std::optional<std::int64_t> value =
      ReadInteger(aKey, aPresence, aRange);
    if (value) {
      aOut = static_cast<Integer>(*value);
    }
  }

  void Number(const char* aKey,
              Presence aPresence,
              const NumberRange& aRange,
              double& aOut);

  void Duration(const char* aKey,
                Presence aPresence,
                const IntegerRange& aRange,
                Milliseconds& aOut);

  /** Reads a duration that may be left out. */
  void Duration(const char* aKey,
                const IntegerRange& aRange,
                std::optional<Milliseconds>& aOut);

  void Flag(const char* aKey, Presence aPresence, bool& aOut);

  template<typename Value>
  void Choose(const char* aKey,
              Presence aPresence,
              const std::vector<NamedValue<Value>>& aChoices,
              Value& aOut)
  {
    const nlohmann::json* value = Find(aKey);
    for (const NamedValue<Value>& choice : aChoices) {
      if (value != nullptr && value->is_string() && *value == choice.mText) {
        aOut = choice.mValue;
        return;
      }
    }
    std::string expected;
    for (const NamedValue<Value>& choice : aChoices) {
      expected += (expected.empty() ? "\"" : " or \"");
      expected += std::string(choice.mText) + "\"";
    }
    if (value == nullptr) {
      AddMissing(aKey, aPresence, expected);
      return;
    }
    AddProblem(aKey, expected, *value);
  }

  using ItemReader =
    std::function<void(const nlohmann::json& aItem, const std::string& aPath)>;

  /** Calls the reader for each item of an array. */
  void Items(const char* aKey, Presence aPresence, const ItemReader& aReader);

  template<typename Tag>
  void Names(const char* aKey,
             Presence aPresence,
             std::vector<StrongId<Tag>>& aOut)
  {
    Items(aKey, aPresence, [&](const nlohmann::json& aItem, auto& aPath) {
      aOut.emplace_back(ItemText(aItem, aPath, kNameRule));
    });
  }

  /** @return A reader of the nested object, or nothing when it is missing. */
  std::optional<ObjectReader> Nested(const char* aKey, Presence aPresence);

  /** Adds a problem for each key that was never asked for. */
  void RefuseUnknownKeys();

  /** @return The path of a key of this object. */
  std::string PathOf(std::string_view aKey) const;

  /** @return Whether the object holds the key. */
  bool Has(const char* aKey) const;

private:
  const nlohmann::json* Find(const char* aKey);
  void AddMissing(const char* aKey,
                  Presence aPresence,
                  const std::string& aExpected);
  std::optional<std::int64_t> ReadInteger(const char* aKey,
                                          Presence aPresence,
                                          const IntegerRange& aRange);
  void AddProblem(const char* aKey,
                  const std::string& aExpected,
                  const nlohmann::json& aFound);
  void AddRefused(const nlohmann::json& aText,
                  const std::string& aPath,
                  const TextRule& aRule);
  std::string Known() const;
  std::string ItemText(const nlohmann::json& aItem,
                       const std::string& aPath,
                       const TextRule& aRule);

  const nlohmann::json* mObject = nullptr;
  std::string mPath;
  ProblemList* mProblems;
  std::vector<std::string_view> mAsked;
};

} // namespace medlarkeel
