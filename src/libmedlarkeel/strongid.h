#pragma once

#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace medlarkeel {

/**
 * A textual identifier that can't be mixed up with one of another kind.
 *
 * @tparam Tag An incomplete type that names the kind.
 */
template<typename Tag>
class StrongId
{
public:
  StrongId() = default;
  explicit StrongId(std::string aText)
    : mText(std::move(aText))
  {
  }

  /** @return The identifier as text. */
  const std::string& Text() const { return mText; }

  /** @return Whether no identifier has been set. */
  bool IsEmpty() const { return mText.empty(); }

  friend bool operator==(const StrongId& aLeft, const StrongId& aRight)
  {
    return aLeft.mText == aRight.mText;
  }
  friend bool operator!=(const StrongId& aLeft, const StrongId& aRight)
  {
    return aLeft.mText != aRight.mText;
  }
  friend bool operator<(const StrongId& aLeft, const StrongId& aRight)
  {
    return aLeft.mText < aRight.mText;
  }
  friend std::ostream& operator<<(std::ostream& aStream, const StrongId& aId)
  {
    return aStream << aId.mText;
  }

private:
  std::string mText;
};

} // namespace medlarkeel

namespace std {

template<typename Tag>
struct hash<medlarkeel::StrongId<Tag>>
{
  size_t operator()(const medlarkeel::StrongId<Tag>& aId) const
  {
    return hash<string>()(aId.Text());
  }
};

} // namespace std
