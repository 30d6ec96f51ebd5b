#pragma once

#include "loadreport.h"
#include "medlarkeel.pb.h"
#include "refusal.h"

namespace medlarkeel {

/** Writes a refusal to its wire form. */
void
FillRefused(const Refusal& aRefusal, wire::Refused& aOut);

/** @return The refusal of a wire message; unknown codes are kept safe: the
 *          outcome is then unknown. */
Refusal
RefusalFrom(const wire::Refused& aRefused);

/** Writes a load snapshot to its wire form. */
void
FillLoad(const LoadSnapshot& aLoad, wire::LoadReport& aOut);

/** @return The load of a wire message. */
LoadSnapshot
LoadFrom(const wire::LoadReport& aReport);

} // namespace medlarkeel
