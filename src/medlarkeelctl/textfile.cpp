#include "textfile.h"

#include <fstream>
#include <iostream>
#include <iterator>

namespace medlarkeel {

std::optional<std::string>
ReadTextFile(const std::string& aName)
{
  std::ifstream file(aName, std::ios::binary);
  std::string text{ std::istreambuf_iterator<char>(file),
                    std::istreambuf_iterator<char>() };
  if (!file.is_open() || file.bad()) {
    std::cerr << aName << ": can't be read\n";
    return std::nullopt;
  }
  return text;
}

void
PrintProblems(const std::string& aName,
              const std::vector<DocumentProblem>& aProblems)
{
  for (const DocumentProblem& problem : aProblems) {
    std::cerr << aName << ": " << ProblemText(problem) << '\n';
  }
}

std::optional<EnvironmentDocument>
ReadDocumentFile(const std::string& aName)
{
  const std::optional<std::string> text = ReadTextFile(aName);
  if (!text) {
    return std::nullopt;
  }
  DocumentResult result = ParseEnvironmentDocument(*text);
  if (result.has_error()) {
    PrintProblems(aName, result.error());
    return std::nullopt;
  }
  return std::move(result.value());
}

} // namespace medlarkeel
