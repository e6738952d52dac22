//===- route_table_codec.h - A configuration for peers ----------*- C++ -*-===//
///
/// \file
/// The form in which balancers copy a configuration from each other: only what
/// they use of it, routes with the same shares together. The site's own form
/// takes a quarter of a kilobyte a route, of which this takes a few bytes.
///
///   {"marjoramrail_routes": 1, "version": 7, "idle_us": 300000000, "groups":
///    [{"shares": [["ledger", 1]], "addresses": {"443": [3323068417, 1]}}]}
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_DIRECTORY_ROUTE_TABLE_CODEC_H
#define MARJORAMRAIL_DIRECTORY_ROUTE_TABLE_CODEC_H

#include "marjoramrail/directory.h"

namespace marjoramrail::internal {

std::string encodeRouteTable(const route_table &Table);

/// Whether \p Body is of this form and not of the site's.
bool isEncodedRouteTable(std::string_view Body);

/// Reads a body of this form.
route_reader readEncodedRouteTable(const platform_object &Object);

} // namespace marjoramrail::internal

#endif // MARJORAMRAIL_DIRECTORY_ROUTE_TABLE_CODEC_H
