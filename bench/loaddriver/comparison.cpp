#include "comparison.h"

#include <array>
#include <cstdio>
#include <sstream>

namespace medlarkeel {

namespace {

using nlohmann::json;

constexpr int kBarLength = 400;  // pixels for an attainment of 1
constexpr int kBarHeight = 14;   // pixels
constexpr int kLabelWidth = 160; // pixels
constexpr int kMargin = 30;      // pixels

/** Appends a line for each leaf of the one side with the other's beside. */
void
AddLeaves(const json& aRouter,
          const json& aNaive,
          const std::string& aPath,
          std::string& aText)
{
  json names = aRouter.is_object() ? aRouter : json::object();
  if (aNaive.is_object()) {
    names.update(aNaive);
  }
  for (const auto& [name, unused] : names.items()) {
    const json left =
      aRouter.is_object() ? aRouter.value(name, json()) : json();
    const json right = aNaive.is_object() ? aNaive.value(name, json()) : json();
    std::string path = aPath;
    path.append(aPath.empty() ? "" : " ").append(name);
    if (left.is_array() || right.is_array()) {
      continue;
    }
    if (left.is_object() || right.is_object()) {
      AddLeaves(left, right, path, aText);
      continue;
    }
    std::array<char, 160> line{};
    const std::string shown = left.is_null() ? "-" : left.dump();
    const std::string other = right.is_null() ? "-" : right.dump();
    std::snprintf(line.data(),
                  line.size(),
                  "%-50s %22.22s %22.22s\n",
                  path.c_str(),
                  shown.c_str(),
                  other.c_str());
    aText += line.data();
  }
}

void
AddBar(std::ostringstream& aSvg, int aTop, double aShare, const char* aColour)
{
  aSvg << "<rect x='" << kLabelWidth << "' y='" << aTop << "' width='"
       << aShare * kBarLength << "' height='" << kBarHeight << "' fill='"
       << aColour << "'/><text x='" << kLabelWidth + kBarLength + 4 << "' y='"
       << aTop + kBarHeight - 2 << "'>" << aShare << "</text>\n";
}

double
Attainment(const json& aSide, const std::string& aClass)
{
  const json found = aSide["classes"].value(aClass, json::object());
  return found.value("attainment", 0.0);
}

} // namespace

std::string
CompareAsText(const json& aRouter, const json& aNaive)
{
  std::array<char, 160> head{};
  std::snprintf(head.data(),
                head.size(),
                "%-50s %22s %22s\n",
                "",
                "medlarkeel",
                "naive router");
  std::string text = head.data();
  AddLeaves(aRouter, aNaive, "", text);
  return text;
}

std::string
CompareAsSvg(const json& aRouter, const json& aNaive)
{
  std::ostringstream svg;
  svg << "<svg xmlns='http://www.w3.org/2000/svg' width='680' height='400' "
         "font-family='sans-serif' font-size='12'>\n"
      << "<text x='4' y='16'>Attainment by class, "
      << aRouter.value("scenario", "")
      << " (upper bar medlarkeel, lower bar naive router)</text>\n";
  int top = kMargin;
  const json classes = aRouter.value("classes", json::object());
  for (const auto& [name, unused] : classes.items()) {
    svg << "<text x='4' y='" << top + kBarHeight << "'>" << name << "</text>\n";
    AddBar(svg, top, Attainment(aRouter, name), "#2a7");
    AddBar(svg, top + kBarHeight, Attainment(aNaive, name), "#b64");
    top += 3 * kBarHeight;
  }
  svg << "</svg>\n";
  return svg.str();
}

} // namespace medlarkeel
