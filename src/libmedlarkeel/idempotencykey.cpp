#include "idempotencykey.h"

#include <array>
#include <cctype>
#include <charconv>
#include <cstddef>
#include <string>
#include <string_view>

namespace medlarkeel {

namespace {

constexpr std::string_view kTicketPrefix = "mlk1.";
constexpr char kSeparator = '.';
constexpr int kHexadecimal = 16;
constexpr std::size_t kUuidLength = 36;
constexpr std::array<std::size_t, 4> kUuidDashes{ 8, 13, 18, 23 };
constexpr std::size_t kUuidVersion = 14;
constexpr std::size_t kUuidVariant = 19;
/** Hexadecimal digits of the time in a UUID, in front of the first dash. */
constexpr std::size_t kUuidHighDigits = 8;
constexpr std::size_t kUuidLowDigits = 4;

std::string
Hexadecimal(std::uint64_t aValue)
{
  std::array<char, 16> digits{};
  const auto end = std::to_chars(
    digits.data(), digits.data() + digits.size(), aValue, kHexadecimal);
  return std::string(digits.data(), end.ptr);
}

std::optional<std::uint64_t>
ParseHexadecimal(std::string_view aText)
{
  std::uint64_t value = 0;
  const char* last = aText.data() + aText.size();
  const auto end = std::from_chars(aText.data(), last, value, kHexadecimal);
  if (aText.empty() || end.ec != std::errc() || end.ptr != last) {
    return std::nullopt;
  }
  return value;
}

/** Takes the last part off a text that the separator divides. */
std::optional<std::uint64_t>
TakeLastNumber(std::string_view& aText)
{
  const std::size_t dot = aText.rfind(kSeparator);
  if (dot == std::string_view::npos) {
    return std::nullopt;
  }
  const auto value = ParseHexadecimal(aText.substr(dot + 1));
  aText = aText.substr(0, dot);
  return value;
}

bool
IsUuid(const std::string& aText)
{
  if (aText.size() != kUuidLength) {
    return false;
  }
  for (const std::size_t dash : kUuidDashes) {
    if (aText[dash] != '-') {
      return false;
    }
  }
  std::size_t digits = 0;
  for (const char character : aText) {
    const auto code = static_cast<unsigned char>(character);
    digits += std::isxdigit(code) != 0 ? 1U : 0U;
  }
  return digits == kUuidLength - kUuidDashes.size();
}

} // namespace

IdempotencyKey
FormatTicket(const Ticket& aTicket)
{
  std::string text(kTicketPrefix);
  text += aTicket.mInstance.Text();
  text += kSeparator;
  text += Hexadecimal(aTicket.mIncarnation.mValue);
  text += kSeparator;
  text += Hexadecimal(
    static_cast<std::uint64_t>(aTicket.mIssued.time_since_epoch().count()));
  text += kSeparator;
  text += Hexadecimal(aTicket.mCounter);
  return IdempotencyKey(text);
}

std::optional<Ticket>
ParseTicket(const IdempotencyKey& aKey)
{
  std::string_view rest = aKey.Text();
  if (rest.substr(0, kTicketPrefix.size()) != kTicketPrefix) {
    return std::nullopt;
  }
  rest.remove_prefix(kTicketPrefix.size());
  const auto counter = TakeLastNumber(rest);
  const auto issued = TakeLastNumber(rest);
  const auto incarnation = TakeLastNumber(rest);
  if (!counter || !issued || !incarnation || rest.empty()) {
    return std::nullopt;
  }
  Ticket ticket;
  ticket.mInstance = InstanceId(std::string(rest));
  ticket.mIncarnation.mValue = *incarnation;
  ticket.mIssued =
    Timestamp(Microseconds(static_cast<Microseconds::rep>(*issued)));
  ticket.mCounter = *counter;
  return ticket;
}

std::optional<WallTime>
TimeOfUuidV7(const IdempotencyKey& aKey)
{
  const std::string& text = aKey.Text();
  if (!IsUuid(text) || text[kUuidVersion] != '7') {
    return std::nullopt;
  }
  const std::string_view variants = "89abAB";
  if (variants.find(text[kUuidVariant]) == std::string_view::npos) {
    return std::nullopt;
  }
  const std::string time = text.substr(0, kUuidHighDigits) +
                           text.substr(kUuidDashes[0] + 1, kUuidLowDigits);
  const auto value = ParseHexadecimal(time);
  if (!value) {
    return std::nullopt;
  }
  return WallTime(Milliseconds(static_cast<Milliseconds::rep>(*value)));
}

} // namespace medlarkeel
