#include "version.h"

namespace medlarkeel {

const char*
Version()
{
  return MEDLARKEEL_VERSION;
}

} // namespace medlarkeel
