//===- object_reader.h - Reads one object's JSON ----------------*- C++ -*-===//
///
/// \file
/// Opens a settings_reader for an object, so that the errors in objects and in
/// settings files have the same texts.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_RESOURCE_OBJECT_READER_H
#define MARJORAMRAIL_RESOURCE_OBJECT_READER_H

#include "marjoramrail/resource.h"
#include "marjoramrail/runtime.h"

namespace marjoramrail::internal {

/// Checks the object's name and parses its JSON text.
result<settings_reader> openObject(std::string_view Kind,
                                   const std::string &Name,
                                   std::string_view Json);

/// Returns whether \p Name is a valid name of an object, a zone or a region.
bool isName(std::string_view Name);

/// The rule for names, as stated in errors.
inline constexpr const char *NameRule =
    "expected 1 to 63 of a-z, 0-9 and \"-\", beginning with a letter or digit";

} // namespace marjoramrail::internal

#endif // MARJORAMRAIL_RESOURCE_OBJECT_READER_H
