#pragma once

#include "measure.h"

#include <nlohmann/json.hpp>

#include <cstddef>
#include <vector>

namespace medlarkeel {

/** @return A valid document with 18 zones, 7 tiers, 11 pools of models and
 *          the given number of teams with one key each. */
nlohmann::json
MakeDocument(std::size_t aTeams);

/** @return The key that a caller of the team presents. */
std::string
CallerKey(std::size_t aTeam);

/** Cost of a document in force, against its teams. */
std::vector<MeasuredRow>
MeasureDocuments();

/** Bytes and time of one change sent as a patch, against the teams. */
std::vector<MeasuredRow>
MeasurePatches();

/** Cost of checking a caller's key, against the teams. */
std::vector<MeasuredRow>
MeasureKeys();

} // namespace medlarkeel
