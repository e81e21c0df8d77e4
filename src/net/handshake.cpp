#include "net/handshake.hpp"

#include <cstdlib>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

namespace gooseberrysail::impl {

namespace {

constexpr std::string_view kDomainLabel = "gooseberrysail peer handshake";
constexpr std::size_t kMaxNameBytes = 256;

void AppendNumber(std::string& out, std::uint64_t number)
{
  for (unsigned shift = 0; shift < 64; shift += 8) {
    out.push_back(static_cast<char>(number >> shift));
  }
}

// Each text is preceded by its length. Otherwise "ab"+"c" and "a"+"bc" would have the same proof,
// and a process could impersonate another by shifting characters between name and role.
void AppendText(std::string& out, std::string_view text)
{
  AppendNumber(out, text.size());
  out.append(text);
}

void AppendHello(std::string& out, const wire::HelloT& hello)
{
  AppendText(out, hello.process);
  AppendText(out, hello.role);
  AppendNumber(out, hello.incarnation);
  AppendText(out, hello.address);
  AppendNumber(out, hello.protocol);
  AppendText(out, std::string(hello.nonce.begin(), hello.nonce.end()));
}

Error Refusal(ErrorCode code, const std::string& address, std::string description)
{
  return Error{ code, "read hello", address, std::move(description) };
}

} // namespace

std::vector<std::uint8_t> MakeNonce()
{
  std::vector<std::uint8_t> nonce(kNonceBytes);
  if (RAND_bytes(nonce.data(), static_cast<int>(nonce.size())) != 1) {
    // A predictable nonce would allow replaying an old proof, so there is no safe way to continue.
    std::abort();
  }
  return nonce;
}

Proof MakeProof(std::string_view clusterKey,
                ProofSide side,
                const wire::HelloT& dialler,
                const wire::HelloT& acceptor)
{
  // The side is part of the proof. Otherwise an attacker could connect, reflect our own proof from
  // a second connection and be accepted as a peer.
  std::string message;
  AppendText(message, kDomainLabel);
  AppendNumber(message, static_cast<std::uint64_t>(side));
  AppendHello(message, dialler);
  AppendHello(message, acceptor);
  Proof proof{};
  unsigned size = 0;
  const auto* const bytes = reinterpret_cast<const unsigned char*>(message.data());
  const auto* const digest = HMAC(EVP_sha256(),
                                  clusterKey.data(),
                                  static_cast<int>(clusterKey.size()),
                                  bytes,
                                  message.size(),
                                  proof.data(),
                                  &size);
  if (digest == nullptr || size != proof.size()) {
    std::abort();
  }
  return proof;
}

bool ProofMatches(const Proof& expected, std::span<const std::uint8_t> received) noexcept
{
  // The duration of a comparison that stops at the first difference reveals how many bytes match.
  return received.size() == expected.size() &&
         CRYPTO_memcmp(expected.data(), received.data(), expected.size()) == 0;
}

Result<void> CheckHello(const wire::HelloT& own,
                        const wire::HelloT& peer,
                        const std::string& address)
{
  if (peer.protocol != kProtocol) {
    return Refusal(ErrorCode::kDenied,
                   address,
                   "protocol version " + std::to_string(peer.protocol) + " instead of " +
                     std::to_string(kProtocol));
  }
  if (peer.process.empty() || peer.process.size() > kMaxNameBytes) {
    return Refusal(ErrorCode::kInvalid, address, "the process name is empty or too long");
  }
  if (peer.process == own.process) {
    return Refusal(
      ErrorCode::kConflict, address, "the peer has the name of this process, " + own.process);
  }
  if (peer.nonce.size() != kNonceBytes || peer.nonce == own.nonce) {
    return Refusal(ErrorCode::kInvalid, address, "the nonce has the wrong size or is our own");
  }
  return outcome::success();
}

} // namespace gooseberrysail::impl
