//===- field_lines.h - Line numbers of settings fields ----------*- C++ -*-===//
///
/// \file
/// Finds the line numbers of the fields in a settings file, and fields that are
/// given twice. The parsed JSON document has neither: the last value of a field
/// replaces the earlier ones. An operator who changed the first of two would
/// see no effect and no error.
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

/// A field that is given more than once in the same object.
struct repeated_field {
  /// The path from the outermost object, as in "services[1].name".
  std::string Field;
  int Line = 0;
  int FirstLine = 0;
};

/// The line numbers, counted from 1, of the fields in a JSON text with
/// comments.
class field_lines {
public:
  field_lines() = default;
  /// \p Text: valid JSON with comments.
  explicit field_lines(std::string_view Text);

  /// Returns the first line that contains the field with the path \p Field, if
  /// there is one.
  std::optional<int> lineOf(const std::string &Field) const;
  const std::vector<repeated_field> &repeated() const { return Repeated; }

private:
  std::map<std::string, int> Lines;
  std::vector<repeated_field> Repeated;
};

} // namespace marjoramrail::internal

#endif // MARJORAMRAIL_RUNTIME_FIELD_LINES_H
