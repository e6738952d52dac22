//===- allow_list.h - Hosts allowed on the control port ---------*- C++ -*-===//
///
/// \file
/// The networks whose hosts may send to the control port. Any other host could
/// register itself as a target there and receive callers' traffic.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_DAEMONS_ALLOW_LIST_H
#define MARJORAMRAIL_DAEMONS_ALLOW_LIST_H

#include "marjoramrail/base.h"

namespace marjoramrail::daemons {

class allow_list {
public:
  /// Parses networks like "10.1.0.0/16". An address without a prefix length is
  /// a single host.
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
