#include "backendorder.h"

namespace medlarkeel {

const char*
OrderKindText(OrderKind aKind)
{
  switch (aKind) {
    case OrderKind::LoadVersion:
      return "load-version";
    case OrderKind::ChangeRole:
      return "change-role";
    case OrderKind::LoadAdapter:
      return "load-adapter";
    case OrderKind::UnloadAdapter:
      return "unload-adapter";
  }
  return "";
}

} // namespace medlarkeel
