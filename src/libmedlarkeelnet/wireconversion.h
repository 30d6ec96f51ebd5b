#pragma once

#include "documentstore.h"
#include "limitmessage.h"
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

/** Writes a stamp and the age of its confirmation to their wire form. */
void
FillStamp(const DocumentStamp& aStamp,
          const std::optional<Microseconds>& aConfirmationAge,
          wire::ConfigurationStamp& aOut);

/** @return The stamp of a wire message. */
DocumentStamp
StampFrom(const wire::ConfigurationStamp& aStamp);

/** @return A peer as the source of a wire message's stamp. */
DocumentSource
SourceFrom(const wire::ConfigurationStamp& aStamp);

/** Writes a message of the team limits to its wire form. */
void
FillLimit(const LimitMessage& aMessage, wire::LimitMessage& aOut);

/** @return The message of the team limits in a wire message. */
LimitMessage
LimitFrom(const wire::LimitMessage& aMessage);

} // namespace medlarkeel
