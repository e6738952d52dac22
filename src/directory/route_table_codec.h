//===- route_table_codec.h - Compact configuration format -------*- C++ -*-===//
///
/// \file
/// The format in which balancers copy a configuration from each other. It
/// contains only the fields that balancers use, with routes of equal shares,
/// regions and service level grouped. The site's own format takes a quarter of
/// a kilobyte per route, this one a few bytes.
///
///   {"marjoramrail_routes": 1, "version": 7, "idle_us": 300000000, "groups":
///    [{"shares": [["ledger", 1]], "addresses": {"443": [3323068417, 1]},
///      "regions": ["be"], "level": [0, 1, 250, 1500]}],
///    "warmups": {"ledger": 2500}, "flow_limits": {"ledger": 600}}
///
/// A level consists of the priority, 1 if requests are repeatable or else 0,
/// and the latency aim and time limit in milliseconds, each 0 if none is
/// stated. `regions`, `level`, `warmups` and `flow_limits` are absent if the
/// configuration states none. Readers ignore fields that they do not know, so
/// that balancers of different versions can copy from each other.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_DIRECTORY_ROUTE_TABLE_CODEC_H
#define MARJORAMRAIL_DIRECTORY_ROUTE_TABLE_CODEC_H

#include "marjoramrail/directory.h"

namespace marjoramrail::internal {

std::string encodeRouteTable(const route_table &Table);

/// Whether \p Body has this format rather than the site's own.
bool isEncodedRouteTable(std::string_view Body);

/// Creates a reader for a body of this format.
route_reader readEncodedRouteTable(const platform_object &Object);

} // namespace marjoramrail::internal

#endif // MARJORAMRAIL_DIRECTORY_ROUTE_TABLE_CODEC_H
