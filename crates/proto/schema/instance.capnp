@0xd0a3f1c46b7e92a5;
# Messages between instances.

enum StatementClass {
  read @0;
  staleRead @1;
  write @2;
  unrepeatableWrite @3;
}

struct Position {
  term @0 :UInt64;
  lsn @1 :UInt64;
}

struct RequestHead {
  workspace @0 :Text;
  database @1 :Text;
  member @2 :Text;
  # Member that the request is meant for.
  key @3 :Text;
  # Public part of the key; empty on an open route.
  requestId @4 :Text;
  class @5 :StatementClass;
  maxAgeMs @6 :UInt64;
  hasPosition @7 :Bool;
  position @8 :Position;
  remainingMs @9 :UInt32;
  revision @10 :UInt64;
  traceParent @11 :Text;
  cancelToken @12 :UInt64;
  # Names the request in Instance.cancel.
}

struct Refusal {
  kind @0 :UInt16;
  unknown @1 :Bool;
  detail @2 :Text;
  retryAfterMs @3 :UInt32;
  # Zero when absent.
  lost @4 :Position;
  termStart @5 :Position;
}

enum TransactionStatus {
  idle @0;
  open @1;
  failed @2;
}

struct ReplyEnd {
  status @0 :TransactionStatus;
  hasPosition @1 :Bool;
  position @2 :Position;
  # Position after the commit.
  hasRefusal @3 :Bool;
  refusal @4 :Refusal;
}

struct Reply {
  data @0 :Data;
  union {
    end @1 :ReplyEnd;
    rest @2 :ReplyStream;
    # The answer goes on.
  }
}

interface ReplyStream {
  next @0 () -> (data :Data, last :Bool, end :ReplyEnd);
  # The end is set in the last chunk.
}

interface Transaction {
  exchange @0 (head :RequestHead, data :Data) -> (reply :Reply);
}

interface Instance {
  run @0 (head :RequestHead, data :Data) -> (reply :Reply);
  begin @1 (head :RequestHead, data :Data) -> (reply :Reply, transaction :Transaction);
  readIndex @2 (database :Text) -> (open :Bool, position :Position);
  heartbeat @3 (beat :Heartbeat) -> (beat :Heartbeat);
  changes @4 (since :UInt64, waitMs :UInt32) -> (changes :Changes);
  borrow @5 (requests :List(LoanRequest)) -> (loans :List(Loan));
  handOver @6 (member :Text, buckets :List(Bucket)) -> (accepted :Bool);
  status @7 () -> (json :Text);
  cancel @8 (token :UInt64) -> ();
  # Cancels the statement of the request with this token.
  cancelSession @9 (process :UInt32, secret :UInt32) -> ();
  # Cancels the statement of a client that is connected to this instance.
  ping @10 () -> ();
}

enum MemberState {
  live @0;
  leaving @1;
  suspected @2;
  dead @3;
}

struct InstanceInfo {
  id @0 :Text;
  dataCentre @1 :Text;
  rpc @2 :Text;
  # Address as host:port.
  state @3 :MemberState;
  incarnation @4 :UInt64;
}

struct TermInfo {
  database @0 :Text;
  term @1 :UInt64;
  primary @2 :Text;
  # Empty while no primary is known.
  hasTermStart @4 :Bool;
  termStart @3 :Position;
}

struct Heartbeat {
  sender @0 :InstanceInfo;
  revision @1 :UInt64;
  proofAgeMs @2 :UInt64;
  # Age of the proof that the revision was the newest.
  recent @3 :List(InstanceInfo);
  terms @4 :List(TermInfo);
  hasProof @5 :Bool;
}

struct Change {
  kind @0 :Text;
  name @1 :Text;
  version @2 :UInt64;
  deleted @3 :Bool;
  value @4 :Text;
  # JSON; empty when deleted.
}

struct Changes {
  revision @0 :UInt64;
  proofAgeMs @1 :UInt64;
  complete @2 :Bool;
  # The list replaces everything that the receiver holds.
  items @3 :List(Change);
  hasProof @4 :Bool;
}

struct LoanRequest {
  workspace @0 :Text;
  borrower @1 :Text;
  # Member whose home asks.
  lender @2 :Text;
  # Member whose home is asked.
  ratePerMille @3 :UInt64;
  # Requests per second, times 1000.
  tokensPerMille @4 :UInt64;
  # Tokens, times 1000.
  term @5 :UInt64;
  database @6 :Text;
  # Database of the borrower.
  division @7 :UInt64;
  # Fingerprint of the division under which the borrower asks.
}

struct Loan {
  workspace @0 :Text;
  ratePerMille @1 :UInt64;
  tokensPerMille @2 :UInt64;
  durationMs @3 :UInt32;
}

struct Bucket {
  workspace @0 :Text;
  tokensPerMille @1 :UInt64;
  member @2 :Text;
  lentForMs @3 :UInt32;
  # Time after which no loan of the leaving home is in use.
}
