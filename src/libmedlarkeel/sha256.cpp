#include "sha256.h"

#include <array>
#include <openssl/evp.h>

namespace medlarkeel {

std::string
Sha256Hex(std::string_view aBytes)
{
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned length = 0;
  const int done = EVP_Digest(aBytes.data(),
                              aBytes.size(),
                              digest.data(),
                              &length,
                              EVP_sha256(),
                              nullptr);
  std::string text;
  if (done != 1) {
    return text;
  }
  for (unsigned index = 0; index < length; ++index) {
    text += kDigits[digest[index] >> 4U];
    text += kDigits[digest[index] & 0xFU];
  }
  return text;
}

} // namespace medlarkeel
