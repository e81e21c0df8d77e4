#include "gooseberrysail/net/endpoint.hpp"
#include "net/peer_mesh_impl.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <utility>

namespace gooseberrysail {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr Duration kAcceptRetry = std::chrono::milliseconds(100);
constexpr const char* kDuplicate = "duplicate connection";

Error HandshakeError(ErrorCode code, std::string step, const std::string& peer, std::string text)
{
  return Error{ code, std::move(step), peer, std::move(text) };
}

void SetIdentity(impl::PeerConnection& connection, const wire::HelloT& hello)
{
  connection.process = ProcessId(hello.process);
  connection.role = hello.role;
  connection.incarnation = Incarnation(hello.incarnation);
  connection.dialableAddress = hello.address;
}

} // namespace

void PeerMesh::Impl::Accept()
{
  while (!closed) {
    tcp::socket socket(runtime.Io());
    const auto [error, size] = Await([&](auto done) { acceptor.async_accept(socket, done); });
    if (closed) {
      return;
    }
    if (error) {
      // Without free file descriptors, accept fails immediately; the delay prevents a busy loop.
      Emit(EventNumber::kAcceptFailed,
           { { "address", listenAddress }, { "reason", error.message() } });
      runtime.SleepFor(kAcceptRetry);
      continue;
    }
    boost::system::error_code unknown;
    const tcp::endpoint remote = socket.remote_endpoint(unknown);
    if (unknown) {
      continue;
    }
    if (handshakes >= settings.maxHandshakes) {
      // Unauthenticated connections that send nothing must not exhaust descriptors and memory.
      ++counters.refused;
      continue;
    }
    socket.set_option(tcp::no_delay(true), unknown);
    ConnectionPtr connection = Register(std::move(socket), false, ToAddress(remote));
    Spawn([this, connection] { ServeAccepted(connection); });
  }
}

void PeerMesh::Impl::ServeAccepted(const ConnectionPtr& connection)
{
  ++handshakes;
  connection->ArmTimeout(settings.dialTimeout, "the handshake timed out");
  const Result<void> proved = AuthenticateAsAcceptor(connection);
  --handshakes;
  if (!proved) {
    ReportRefused(*connection, proved.error());
    Disconnect(connection, proved.error().step, proved.error().description);
    return;
  }
  Serve(connection);
}

wire::HelloT PeerMesh::Impl::OwnHello() const
{
  wire::HelloT hello;
  hello.process = settings.process.Get();
  hello.role = settings.role;
  hello.incarnation = settings.incarnation.Get();
  hello.address = settings.announcedAddress;
  hello.nonce = impl::MakeNonce();
  hello.protocol = impl::kProtocol;
  return hello;
}

Result<void> PeerMesh::Impl::AuthenticateAsDialler(const ConnectionPtr& connection,
                                                   const ProcessId& expected)
{
  const wire::HelloT own = OwnHello();
  BOOST_OUTCOME_TRY(WriteHandshakeFrame(connection, impl::EncodeFrame(*MakeEnvelope(own))));
  BOOST_OUTCOME_TRY(const auto helloFrame, ReadHandshakeFrame(connection));
  const wire::HelloT* const hello = helloFrame->body.AsHello();
  if (hello == nullptr) {
    return HandshakeError(
      ErrorCode::kCorrupt, "read hello", connection->address, "expected a Hello message");
  }
  BOOST_OUTCOME_TRY(impl::CheckHello(own, *hello, connection->address));
  if (hello->process != expected.Get()) {
    return HandshakeError(ErrorCode::kDenied,
                          "read hello",
                          connection->address,
                          "reached " + hello->process + " instead of " + expected.Get());
  }
  SetIdentity(*connection, *hello);
  const impl::Proof ownProof =
    impl::MakeProof(settings.clusterKey, impl::ProofSide::kDialler, own, *hello);
  wire::HelloProofT proof;
  proof.proof.assign(ownProof.begin(), ownProof.end());
  BOOST_OUTCOME_TRY(
    WriteHandshakeFrame(connection, impl::EncodeFrame(*MakeEnvelope(std::move(proof)))));
  BOOST_OUTCOME_TRY(const auto answerFrame, ReadHandshakeFrame(connection));
  const wire::HelloProofT* const answer = answerFrame->body.AsHelloProof();
  if (answer == nullptr) {
    return HandshakeError(
      ErrorCode::kCorrupt, "read proof", connection->address, "expected a HelloProof message");
  }
  if (!answer->refusal.empty()) {
    return HandshakeError(
      ErrorCode::kConflict, "read proof", connection->address, "refused: " + answer->refusal);
  }
  const impl::Proof expectedProof =
    impl::MakeProof(settings.clusterKey, impl::ProofSide::kAcceptor, own, *hello);
  if (!impl::ProofMatches(expectedProof, answer->proof)) {
    return HandshakeError(
      ErrorCode::kDenied, "read proof", connection->address, "the cluster keys differ");
  }
  return outcome::success();
}

Result<void> PeerMesh::Impl::AuthenticateAsAcceptor(const ConnectionPtr& connection)
{
  BOOST_OUTCOME_TRY(const auto helloFrame, ReadHandshakeFrame(connection));
  const wire::HelloT* const hello = helloFrame->body.AsHello();
  if (hello == nullptr) {
    return HandshakeError(
      ErrorCode::kCorrupt, "read hello", connection->address, "expected a Hello message");
  }
  const wire::HelloT own = OwnHello();
  BOOST_OUTCOME_TRY(impl::CheckHello(own, *hello, connection->address));
  SetIdentity(*connection, *hello);
  BOOST_OUTCOME_TRY(WriteHandshakeFrame(connection, impl::EncodeFrame(*MakeEnvelope(own))));
  BOOST_OUTCOME_TRY(const auto proofFrame, ReadHandshakeFrame(connection));
  const wire::HelloProofT* const proof = proofFrame->body.AsHelloProof();
  if (proof == nullptr) {
    return HandshakeError(
      ErrorCode::kCorrupt, "read proof", connection->address, "expected a HelloProof message");
  }
  const impl::Proof expectedProof =
    impl::MakeProof(settings.clusterKey, impl::ProofSide::kDialler, *hello, own);
  if (!impl::ProofMatches(expectedProof, proof->proof)) {
    return HandshakeError(
      ErrorCode::kDenied, "read proof", connection->address, "the cluster keys differ");
  }
  wire::HelloProofT answer;
  if (IsDuplicate(*connection)) {
    answer.refusal = kDuplicate;
    BOOST_OUTCOME_TRY(
      WriteHandshakeFrame(connection, impl::EncodeFrame(*MakeEnvelope(std::move(answer)))));
    return HandshakeError(
      ErrorCode::kConflict, "choose connection", connection->address, kDuplicate);
  }
  if (const ConnectionPtr dial = Find(peers[connection->process].dial)) {
    dial->Close("an incoming connection was accepted instead");
  }
  const impl::Proof ownProof =
    impl::MakeProof(settings.clusterKey, impl::ProofSide::kAcceptor, *hello, own);
  answer.proof.assign(ownProof.begin(), ownProof.end());
  const auto frame =
    std::make_shared<const Frame>(impl::EncodeFrame(*MakeEnvelope(std::move(answer))));
  // Sent with priority, because frames of the replicated log may already wait for this connection
  // and must not be sent before the proof.
  connection->Queue({ frame, wire::Body::HelloProof, true });
  Establish(connection);
  return outcome::success();
}

// Two processes that dial each other at the same time could each keep closing the connection that
// the other chose. Therefore only the accepting side decides, by rules that are consistent on both
// sides:
// - while our own dial is in its handshake and our name is the smaller one, the incoming connection
//   is refused;
// - an incoming connection that is older than the established one is refused, because the peer has
//   already abandoned it.
// Any other incoming connection replaces the established one, because a peer dials only when it
// has lost its connection.
bool PeerMesh::Impl::IsDuplicate(const Connection& connection) const
{
  const auto found = peers.find(connection.process);
  if (found == peers.end()) {
    return false;
  }
  const ConnectionPtr dial = Find(found->second.dial);
  const bool dialling = dial && dial->phase == Connection::Phase::kHandshake;
  if (dialling && settings.process < connection.process) {
    return true;
  }
  const ConnectionPtr present = Find(found->second.connection);
  return present && present->establishedOrder > connection.Id().Get();
}

Result<void> PeerMesh::Impl::WriteHandshakeFrame(const ConnectionPtr& connection,
                                                 const Frame& frame)
{
  const auto [error, size] =
    Await([&](auto done) { asio::async_write(connection->socket, asio::buffer(frame), done); });
  if (connection->Closed()) {
    return HandshakeError(
      ErrorCode::kTimeout, "handshake", connection->address, connection->CloseReason());
  }
  if (error) {
    return HandshakeError(ErrorCode::kIo, "write handshake", connection->address, error.message());
  }
  counters.bytesSent += size;
  return outcome::success();
}

Result<std::shared_ptr<const wire::EnvelopeT>> PeerMesh::Impl::ReadHandshakeFrame(
  const ConnectionPtr& connection)
{
  for (;;) {
    BOOST_OUTCOME_TRY(const auto frame, connection->reader.Next(connection->address));
    if (frame) {
      return DecodeEnvelope(*frame, connection->address);
    }
    const auto room = connection->reader.Prepare();
    const auto [error, size] = Await([&](auto done) {
      connection->socket.async_read_some(asio::buffer(room.data(), room.size()), done);
    });
    if (connection->Closed()) {
      return HandshakeError(
        ErrorCode::kTimeout, "handshake", connection->address, connection->CloseReason());
    }
    if (error) {
      const bool ended = error == asio::error::eof;
      return HandshakeError(ErrorCode::kIo,
                            "read handshake",
                            connection->address,
                            ended ? "closed by the peer" : error.message());
    }
    connection->reader.Commit(size);
    counters.bytesReceived += size;
  }
}

void PeerMesh::Impl::ReportRefused(const Connection& connection, const Error& error)
{
  if (error.code == ErrorCode::kConflict && error.description == kDuplicate) {
    return;
  }
  ++counters.refused;
  Emit(EventNumber::kPeerRefused,
       { { "address", connection.address },
         { "peer", connection.process.Get() },
         { "step", error.step },
         { "reason", error.description } });
}

} // namespace gooseberrysail
