#include "fleet/datagrams.h"

#include <algorithm>

namespace marjoramrail {

namespace {

constexpr std::uint8_t Format = 1;

} // namespace

bool isFleetMessage(fleet_bytes Bytes) {
  return Bytes.size() >= internal::DatagramHeaderBytes && Bytes[0] == 'M' &&
         Bytes[1] == 'F';
}

namespace internal {

namespace {

/// 64 pieces hold the view of a service with about 1,500 hosts.
constexpr std::size_t MaxPieces = 64;

void put(std::vector<std::uint8_t> &To, std::uint32_t Value, int Bytes) {
  for (int Shift = 8 * (Bytes - 1); Shift >= 0; Shift -= 8)
    To.push_back(static_cast<std::uint8_t>(Value >> Shift));
}

std::uint32_t get(fleet_bytes From, std::size_t At, std::size_t Bytes) {
  std::uint32_t Value = 0;
  for (std::size_t I = 0; I < Bytes; ++I)
    Value = Value << 8 | From[At + I];
  return Value;
}

} // namespace

std::size_t sendInPieces(fleet_bytes Message, std::uint32_t Number,
                         const std::function<void(fleet_bytes)> &Send) {
  const std::size_t Count =
      std::max<std::size_t>(1, (Message.size() + PieceBytes - 1) / PieceBytes);
  std::size_t Sent = 0;
  for (std::size_t Index = 0; Index < Count; ++Index) {
    const fleet_bytes Piece = Message.subspan(
        Index * PieceBytes,
        std::min(PieceBytes, Message.size() - Index * PieceBytes));
    std::vector<std::uint8_t> Datagram = {'M', 'F', Format, 0};
    put(Datagram, Number, 4);
    put(Datagram, static_cast<std::uint32_t>(Index), 2);
    put(Datagram, static_cast<std::uint32_t>(Count), 2);
    Datagram.insert(Datagram.end(), Piece.begin(), Piece.end());
    Send(Datagram);
    Sent += Datagram.size();
  }
  return Sent;
}

std::optional<std::vector<std::uint8_t>>
piece_joiner::add(const endpoint &From, fleet_bytes Datagram, bool &Fault) {
  Fault = true;
  if (!isFleetMessage(Datagram) || Datagram[2] != Format)
    return std::nullopt;
  const std::uint32_t Number = get(Datagram, 4, 4);
  const std::size_t Index = get(Datagram, 8, 2);
  const std::size_t Count = get(Datagram, 10, 2);
  if (Count == 0 || Count > MaxPieces || Index >= Count)
    return std::nullopt;
  Fault = false;
  const fleet_bytes Piece = Datagram.subspan(DatagramHeaderBytes);
  if (Count == 1)
    return std::vector<std::uint8_t>(Piece.begin(), Piece.end());

  auto Found = std::find_if(
      Waiting.begin(), Waiting.end(), [&](const unfinished &Message) {
        return Message.From == From && Message.Number == Number &&
               Message.Pieces.size() == Count;
      });
  if (Found == Waiting.end()) {
    if (Waiting.size() >= MaxUnfinished)
      Waiting.pop_front();
    Waiting.push_back({From, Number, {}, Count});
    Found = std::prev(Waiting.end());
    Found->Pieces.resize(Count);
  }
  std::vector<std::uint8_t> &Slot = Found->Pieces[Index];
  if (!Slot.empty())
    return std::nullopt;
  Slot.assign(Piece.begin(), Piece.end());
  if (--Found->Missing > 0)
    return std::nullopt;
  std::vector<std::uint8_t> Joined;
  for (const auto &Part : Found->Pieces)
    Joined.insert(Joined.end(), Part.begin(), Part.end());
  Waiting.erase(Found);
  return Joined;
}

} // namespace internal

} // namespace marjoramrail
