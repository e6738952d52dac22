//===- address_list.h - Many addresses in little JSON -----------*- C++ -*-===//
///
/// \file
/// Addresses by port, each port's as the first one's number and the gaps to the
/// next ones: {"443": [3323068417, 1, 1, 2]}. Addresses of a site stand close
/// together, so most take two characters in place of twenty.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_DIRECTORY_ADDRESS_LIST_H
#define MARJORAMRAIL_DIRECTORY_ADDRESS_LIST_H

#include "marjoramrail/base.h"

#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <vector>

namespace marjoramrail::internal {

/// In any order, each address once.
nlohmann::json encodeAddresses(std::vector<endpoint> Addresses);

/// Nothing if \p Json is no such object or leaves the range of addresses.
std::optional<std::vector<endpoint>>
decodeAddresses(const nlohmann::json &Json);

} // namespace marjoramrail::internal

#endif // MARJORAMRAIL_DIRECTORY_ADDRESS_LIST_H
