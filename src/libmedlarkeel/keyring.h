#pragma once

#include "environmentdocument.h"
#include "types.h"

#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace medlarkeel {

/** A caller whose key was found right. */
struct Authenticated
{
  TeamName mTeam;
  KeyId mKeyId;
  /** Hash under which the key was found; another one means a new key. */
  std::string mSecretHash;
};

/**
 * @param aAuthorization Value of an Authorization header.
 * @return The key after "Bearer", or nothing.
 */
std::optional<std::string_view>
BearerKey(std::string_view aAuthorization);

/** The caller keys of one document; immutable. */
class KeyRing
{
public:
  KeyRing() = default;
  explicit KeyRing(const EnvironmentDocument& aDocument);

  /**
   * Checks a key of the form `mk_<keyId>_<secret>`. An unknown key id costs
   * as much as a wrong secret.
   *
   * @return The caller, or nothing when the key is not one of the document's.
   */
  std::optional<Authenticated> Authenticate(std::string_view aKey) const;

  /** @return Whether the team still holds a key of this id. */
  bool IsValid(const KeyId& aId, const TeamName& aTeam) const;

  /** @return Whether the very key that was found right is still in force. */
  bool IsValid(const Authenticated& aCaller) const;

private:
  struct Entry
  {
    TeamName mTeam;
    std::string mSalt;
    std::string mSecretHash;
  };

  const Entry* Find(const KeyId& aId) const;

  std::unordered_map<KeyId, Entry> mEntries;
};

} // namespace medlarkeel
