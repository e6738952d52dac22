//===- cbor.h - Decodes CBOR from untrusted senders -------------*- C++ -*-===//
///
/// \file
/// Decodes received CBOR without throwing exceptions.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_SRC_BASE_CBOR_H
#define MARJORAMRAIL_SRC_BASE_CBOR_H

#include <nlohmann/json.hpp>

namespace marjoramrail::internal {

/// Returns a discarded value if \p Range is not valid CBOR.
///
/// Even with allow_exceptions=false, from_cbor() throws for an array or object
/// whose length exceeds the memory. Uncaught, the exception would let one
/// forged datagram of twelve bytes end the process.
template <typename Bytes> nlohmann::json readCbor(const Bytes &Range) {
  using nlohmann::json;
  try {
    return json::from_cbor(Range.begin(), Range.end(), /*strict=*/true,
                           /*allow_exceptions=*/false);
  } catch (const json::exception &) {
    return json(json::value_t::discarded);
  }
}

} // namespace marjoramrail::internal

#endif // MARJORAMRAIL_SRC_BASE_CBOR_H
