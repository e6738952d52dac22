//===- cbor.h - Reading CBOR that others sent -------------------*- C++ -*-===//

#ifndef MARJORAMRAIL_SRC_BASE_CBOR_H
#define MARJORAMRAIL_SRC_BASE_CBOR_H

#include <nlohmann/json.hpp>

namespace marjoramrail::internal {

/// Returns a discarded value if \p Bytes are no CBOR.
///
/// from_cbor() reports most faults without exceptions when asked to, but throws
/// all the same for an array or object whose length exceeds the memory. One
/// forged datagram of twelve bytes would then end the process.
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
