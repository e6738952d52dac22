//===- allow_list.h - Who may talk on a link --------------------*- C++ -*-===//
///
/// \file
/// The networks whose hosts may send to the control port. Anyone else there
/// could announce a host of its own and draw callers to it.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_DAEMONS_ALLOW_LIST_H
#define MARJORAMRAIL_DAEMONS_ALLOW_LIST_H

#include "marjoramrail/base.h"

namespace marjoramrail::daemons {

class allow_list {
public:
  /// Reads networks as "10.1.0.0/16"; an address alone is one host.
  static result<allow_list> parse(const std::vector<std::string> &Networks);

  bool allows(const endpoint &Peer) const;

private:
  struct network {
    std::uint32_t Address;
    std::uint32_t Mask;
  };

  std::vector<network> Networks;
};

} // namespace marjoramrail::daemons

#endif // MARJORAMRAIL_DAEMONS_ALLOW_LIST_H
