//===- key_codec.h - Encoding of key messages -------------------*- C++ -*-===//

#ifndef MARJORAMRAIL_SRC_PROXY_KEY_CODEC_H
#define MARJORAMRAIL_SRC_PROXY_KEY_CODEC_H

#include "marjoramrail/work.h"

#include <string_view>

namespace marjoramrail::internal {

/// Encodes a batch of key messages as CBOR.
std::string encodeKeyMessages(const key_messages &Messages);

/// Decodes a batch of key messages. Fails with step::DecodeMessage if any of
/// them is malformed.
result<key_messages> decodeKeyMessages(std::string_view Bytes);

} // namespace marjoramrail::internal

#endif // MARJORAMRAIL_SRC_PROXY_KEY_CODEC_H
