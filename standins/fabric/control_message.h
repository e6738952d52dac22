//===- control_message.h - Changing the fabric while it runs ----*- C++ -*-===//
///
/// \file
/// A control message is one UDP datagram to `control_listen`: a JSON object
/// with any of these fields. A field that is left out keeps its value.
///
///   {"balancers": ["127.0.0.1:4000", ...]}   the list to spray over
///   {"drop_percent": 1}                      lost, in each direction
///   {"duplicate_percent": 1}                 sent twice
///   {"delay_ms": 3, "jitter_ms": 1}          3 to 4 ms one way
///   {"reorder_percent": 1}                   may overtake on their own link
///   {"cut": ["127.0.0.1:4000", ...]}         nothing to that balancer, or
///                                            from that agent, gets through;
///                                            [] ends all cuts
///   {"cut": {"127.0.0.1:4000": 50}}          the same for half of the packets
///
/// The answer, to the sender, is {"ok": true} or {"error": "..."}; a message
/// with an error changes nothing.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_STANDINS_CONTROL_MESSAGE_H
#define MARJORAMRAIL_STANDINS_CONTROL_MESSAGE_H

#include "fabric_model.h"

namespace marjoramrail::standins {

/// Carries out a control message and returns the answer.
std::string applyControl(fabric_model &Model, std::string_view Text);

} // namespace marjoramrail::standins

#endif // MARJORAMRAIL_STANDINS_CONTROL_MESSAGE_H
