//===- object_reader.h - Reads one object's JSON ----------------*- C++ -*-===//
///
/// \file
/// Opens a settings_reader over an object, so that objects and settings files
/// are refused in the same words.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_RESOURCE_OBJECT_READER_H
#define MARJORAMRAIL_RESOURCE_OBJECT_READER_H

#include "marjoramrail/resource.h"
#include "marjoramrail/runtime.h"

namespace marjoramrail::internal {

/// Checks the name and parses the text of KIND/NAME.
result<settings_reader> openObject(std::string_view Kind,
                                   const std::string &Name,
                                   std::string_view Json);

/// Returns whether \p Name can name an object or a zone.
bool isName(std::string_view Name);

/// What a name must be, for refusals.
inline constexpr const char *NameRule =
    "expected 1 to 63 of a-z, 0-9 and \"-\", beginning with a letter or digit";

} // namespace marjoramrail::internal

#endif // MARJORAMRAIL_RESOURCE_OBJECT_READER_H
