#include "protocol/routing_piece.h"

#include <utility>

namespace jasminedyke {

namespace {

// Some milliseconds of a thin link.
constexpr size_t kPieceBytes = 16 * 1024;
// Of numbers and lengths.
constexpr size_t kBytesBesideTexts = 24;

size_t BytesOf(const route& each) {
  return each.name.size() + each.host.size() + each.path_prefix.size() +
         each.service.size() + kBytesBesideTexts;
}

size_t BytesOf(const route_key& key) {
  return key.host.size() + key.path_prefix.size() + kBytesBesideTexts;
}

// Fills pieces one after the other.
class piece_writer {
 public:
  explicit piece_writer(const routing_update& update) {
    empty_.update.base = update.base;
    empty_.update.digest = update.digest;
    empty_.update.to.version = update.to.version;
    empty_.update.to.services = update.to.services;
    empty_.update.to.max_header_bytes = update.to.max_header_bytes;
    empty_.update.to.max_body_bytes = update.to.max_body_bytes;
    pieces_.push_back(empty_);
  }

  // With room for `bytes` more.
  routing_update& Piece(size_t bytes) {
    if (filled_ > 0 && filled_ + bytes > kPieceBytes) {
      pieces_.back().last = false;
      pieces_.push_back(empty_);
      pieces_.back().number = static_cast<uint32_t>(pieces_.size() - 1);
      filled_ = 0;
    }
    filled_ += bytes;
    return pieces_.back().update;
  }

  std::vector<routing_piece> Take() { return std::move(pieces_); }

 private:
  routing_piece empty_;
  std::vector<routing_piece> pieces_;
  size_t filled_ = 0;
};

}  // namespace

std::vector<routing_piece> SplitIntoPieces(const routing_update& update) {
  piece_writer writer(update);
  for (const route& each : update.to.routes)
    writer.Piece(BytesOf(each)).to.routes.push_back(each);
  for (const route_key& key : update.removed)
    writer.Piece(BytesOf(key)).removed.push_back(key);
  return writer.Take();
}

}  // namespace jasminedyke
