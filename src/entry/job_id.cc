#include "entry/job_id.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace jasminedyke {

namespace {

constexpr size_t kSecretBytes = 32;
constexpr size_t kCodeBytes = 16;
constexpr size_t kMaxLength = 256;
// The sequence is the milliseconds since the start of the incarnation, then a
// count that keeps ids of one millisecond apart, then whether the id was minted
// ahead of its job.
constexpr int kCountBits = 19;
constexpr int kTimeShift = kCountBits + 1;
constexpr uint64_t kCountMask = (uint64_t{1} << kCountBits) - 1;

// Cuts the last field off `text`.
std::string TakeLastField(std::string& text) {
  size_t dot = text.rfind('.');
  if (dot == std::string::npos)
    return {};
  std::string field = text.substr(dot + 1);
  text.resize(dot);
  return field;
}

bool IsHex(const std::string& text) {
  return !text.empty() && std::ranges::all_of(text, [](unsigned char c) {
    return std::isdigit(c) || (c >= 'a' && c <= 'f');
  });
}

std::string HexNumber(uint64_t number) {
  char digits[16];
  auto [end, error] =
      std::to_chars(digits, digits + sizeof(digits), number, 16);
  return std::string(digits, end);
}

}  // namespace

std::optional<job_id> job_id::Parse(const std::string& text) {
  if (text.size() > kMaxLength)
    return std::nullopt;
  std::string rest = text;
  job_id id;
  id.code = TakeLastField(rest);
  std::string sequence = TakeLastField(rest);
  id.incarnation = incarnation_id(TakeLastField(rest));
  id.owner = instance_id(rest);
  if (id.owner.empty() || !IsHex(id.incarnation.str()) || !IsHex(id.code))
    return std::nullopt;
  const char* last = sequence.data() + sequence.size();
  auto [end, error] = std::from_chars(sequence.data(), last, id.sequence, 16);
  // Only the one way of writing it, so that equal ids are equal texts.
  if (error != std::errc() || end != last ||
      HexNumber(id.sequence) != sequence) {
    return std::nullopt;
  }
  return id;
}

std::string job_id::ToString() const {
  return owner.str() + "." + incarnation.str() + "." + HexNumber(sequence) +
         "." + code;
}

job_id_mint::job_id_mint(scheduler& clock,
                         instance_id instance,
                         incarnation_id incarnation)
    : clock_(clock),
      instance_(std::move(instance)),
      incarnation_(std::move(incarnation)),
      secret_(RandomHex(kSecretBytes)),
      start_(clock.now()) {}

job_id job_id_mint::Mint(const team_id& team, bool ahead) {
  auto ms = static_cast<uint64_t>((clock_.now() - start_) /
                                  std::chrono::milliseconds(1));
  job_id id{instance_, incarnation_,
            ms << kTimeShift | (count_++ & kCountMask) << 1 | (ahead ? 1 : 0),
            ""};
  id.code = Code(id, team);
  return id;
}

bool job_id_mint::IsOurs(const job_id& id, const team_id& team) const {
  return OwnedHere(id) && EqualInConstantTime(id.code, Code(id, team));
}

bool job_id_mint::OwnedHere(const job_id& id) const {
  return id.owner == instance_ && id.incarnation == incarnation_;
}

duration job_id_mint::Age(const job_id& id) const {
  std::chrono::milliseconds minted(id.sequence >> kTimeShift);
  return clock_.now() - start_ - minted;
}

std::string job_id_mint::Code(const job_id& id, const team_id& team) const {
  std::string signed_text = HexNumber(id.sequence) + "/" + team.str();
  return ToHex(HmacSha256(secret_, signed_text).substr(0, kCodeBytes));
}

}  // namespace jasminedyke
