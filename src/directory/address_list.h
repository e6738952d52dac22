//===- address_list.h - Compact JSON encoding of addresses ------*- C++ -*-===//
///
/// \file
/// Addresses grouped by port: for each port the first address as a number,
/// followed by the differences between successive addresses: {"443":
/// [3323068417, 1, 1, 2]}. The addresses of a site are close together, so most
/// take two characters instead of twenty.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_DIRECTORY_ADDRESS_LIST_H
#define MARJORAMRAIL_DIRECTORY_ADDRESS_LIST_H

#include "marjoramrail/base.h"

#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <vector>

namespace marjoramrail::internal {

/// The addresses may be in any order and must be distinct.
nlohmann::json encodeAddresses(std::vector<endpoint> Addresses);

/// Returns nothing if \p Json does not have this form or an address is out of
/// range.
std::optional<std::vector<endpoint>>
decodeAddresses(const nlohmann::json &Json);

} // namespace marjoramrail::internal

#endif // MARJORAMRAIL_DIRECTORY_ADDRESS_LIST_H
