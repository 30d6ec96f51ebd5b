#pragma once

#include "../libmedlarkeel/forwarding/entryload.h"

#include <nlohmann/json.hpp>

namespace medlarkeel {

/** Adds the fields of a load to a part of a peer report. */
void
EncodeEntryLoad(const EntryLoad& aLoad, nlohmann::json& aOut);

/**
 * @param aValues Part of a peer report.
 * @return The load that it has. Throws if a field is missing or malformed.
 */
EntryLoad
DecodeEntryLoad(const nlohmann::json& aValues);

} // namespace medlarkeel
