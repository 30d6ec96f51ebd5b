#pragma once

#include <nlohmann/json.hpp>
#include <string>

namespace medlarkeel {

/** @return Both sides' figures in a text table. */
std::string
CompareAsText(const nlohmann::json& aRouter, const nlohmann::json& aNaive);

/** @return Attainment by class of both sides as bars, in SVG. */
std::string
CompareAsSvg(const nlohmann::json& aRouter, const nlohmann::json& aNaive);

} // namespace medlarkeel
