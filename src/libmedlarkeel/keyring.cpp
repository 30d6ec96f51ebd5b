#include "keyring.h"

#include "sha256.h"

#include <openssl/crypto.h>

namespace medlarkeel {

namespace {

constexpr std::string_view kKeyPrefix = "mk_";
constexpr std::string_view kBearerScheme = "Bearer ";
constexpr std::size_t kMaximumKeyLength = 256; // bytes

struct KeyParts
{
  std::string_view mId;
  std::string_view mSecret;
};

std::optional<KeyParts>
SplitKey(std::string_view aKey)
{
  if (aKey.size() > kMaximumKeyLength ||
      aKey.substr(0, kKeyPrefix.size()) != kKeyPrefix) {
    return std::nullopt;
  }
  aKey.remove_prefix(kKeyPrefix.size());
  const std::size_t end = aKey.find('_');
  if (end == 0 || end == std::string_view::npos || end + 1 == aKey.size()) {
    return std::nullopt;
  }
  return KeyParts{ aKey.substr(0, end), aKey.substr(end + 1) };
}

bool
EqualInConstantTime(const std::string& aLeft, const std::string& aRight)
{
  return aLeft.size() == aRight.size() &&
         CRYPTO_memcmp(aLeft.data(), aRight.data(), aLeft.size()) == 0;
}

} // namespace

std::optional<std::string_view>
BearerKey(std::string_view aAuthorization)
{
  if (aAuthorization.substr(0, kBearerScheme.size()) != kBearerScheme) {
    return std::nullopt;
  }
  return aAuthorization.substr(kBearerScheme.size());
}

KeyRing::KeyRing(const EnvironmentDocument& aDocument)
{
  for (const Team& team : aDocument.mTeams) {
    for (const KeyEntry& key : team.mKeys) {
      mEntries.emplace(key.mId,
                       Entry{ team.mName, key.mSalt, key.mSecretHash });
    }
  }
}

const KeyRing::Entry*
KeyRing::Find(const KeyId& aId) const
{
  const auto found = mEntries.find(aId);
  return found == mEntries.end() ? nullptr : &found->second;
}

std::optional<Authenticated>
KeyRing::Authenticate(std::string_view aKey) const
{
  // Stands in for unknown ids; no secret has this hash.
  static const Entry sNobody{ TeamName(),
                              "0123456789abcdef",
                              std::string(64, '0') };
  const std::optional<KeyParts> parts = SplitKey(aKey);
  if (!parts) {
    return std::nullopt;
  }
  const KeyId id{ std::string(parts->mId) };
  const Entry* found = Find(id);
  const Entry& entry = found == nullptr ? sNobody : *found;
  const std::string hash = Sha256Hex(entry.mSalt + std::string(parts->mSecret));
  const bool isRight = EqualInConstantTime(hash, entry.mSecretHash);
  if (!isRight || found == nullptr) {
    return std::nullopt;
  }
  return Authenticated{ entry.mTeam, id, entry.mSecretHash };
}

bool
KeyRing::IsValid(const KeyId& aId, const TeamName& aTeam) const
{
  const Entry* entry = Find(aId);
  return entry != nullptr && entry->mTeam == aTeam;
}

bool
KeyRing::IsValid(const Authenticated& aCaller) const
{
  const Entry* entry = Find(aCaller.mKeyId);
  return entry != nullptr && entry->mTeam == aCaller.mTeam &&
         entry->mSecretHash == aCaller.mSecretHash;
}

} // namespace medlarkeel
