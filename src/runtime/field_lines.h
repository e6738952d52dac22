//===- field_lines.h - Where a settings file names its fields ---*- C++ -*-===//
///
/// \file
/// The parsed document knows neither lines nor that a field was given twice:
/// the last value silently replaces the ones before. An operator who corrects
/// the first of two would see no change, and nothing would tell why.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_RUNTIME_FIELD_LINES_H
#define MARJORAMRAIL_RUNTIME_FIELD_LINES_H

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace marjoramrail::internal {

/// A field that stands more than once in the same object.
struct repeated_field {
  /// The path from the outermost object, as in "services[1].name".
  std::string Field;
  int Line = 0;
  int FirstLine = 0;
};

/// The lines, counted from 1, on which a text of JSON with comments names its
/// fields.
class field_lines {
public:
  field_lines() = default;
  /// \p Text: valid JSON with comments.
  explicit field_lines(std::string_view Text);

  /// The first line that names \p Field, a path; nothing if none does.
  std::optional<int> lineOf(const std::string &Field) const;
  const std::vector<repeated_field> &repeated() const { return Repeated; }

private:
  std::map<std::string, int> Lines;
  std::vector<repeated_field> Repeated;
};

} // namespace marjoramrail::internal

#endif // MARJORAMRAIL_RUNTIME_FIELD_LINES_H
