# Messages between nodes. Field numbers are never reused.
# Enumerations are sent as text, so that an older node can quote an unknown
# value in its error message.
@0xc3a1f0d2b7e94c58;

struct Frame {
  union {
    hello @0 :Hello;
    heartbeat @1 :Heartbeat;
    ping @2 :Ping;
    pingReq @3 :PingReq;
    ack @4 :Ack;
    roundDown @5 :RoundDown;
    roundUp @6 :RoundUp;
    regionAccepted @7 :RegionAccepted;
    push @8 :Push;
    pull @9 :Pull;
    join @10 :Join;
    shareRelease @11 :ShareRelease;
    warmNotice @12 :WarmNotice;
    batchRequest @13 :BatchRequest;
    batchReply @14 :BatchReply;
    cancel @15 :Cancel;
    journalQuery @16 :JournalQuery;
    journalReply @17 :JournalReply;
    stateTransfer @18 :StateTransfer;
  }
}

struct Hello {
  protocol @0 :UInt32;
  cluster @1 :Text;
  nodeId @2 :Text;
  incarnation @3 :UInt64;
  nonce @4 :Data;
}

struct Heartbeat {}

struct Member {
  id @0 :Text;
  incarnation @1 :UInt64;
  availabilityZone @2 :Text;
  region @3 :Text;
  linkAddress @4 :Text;
  apiAddress @5 :Text;
  since @6 :UInt64;
  capacity @7 :Float64;
}

struct MemberStatus {
  member @0 :Member;
  status @1 :Text;
  sequence @2 :UInt64;
}

struct Ping {
  probe @0 :UInt64;
  updates @1 :List(MemberStatus);
}

struct PingReq {
  probe @0 :UInt64;
  target @1 :Text;
}

struct Ack {
  probe @0 :UInt64;
  target @1 :Text;
  updates @2 :List(MemberStatus);
}

struct LossReport {
  fingerprint @0 :Text;
  servers @1 :List(Text);
  at @2 :Float64;
  started @3 :Float64;
}

struct QuarantineEntry {
  fingerprint @0 :Text;
  expiresAt @1 :Float64;
  evidence @2 :Text;
}

struct RegionVersion {
  region @0 :Text;
  version @1 :UInt64;
}

struct VersionCount {
  version @0 :UInt64;
  count @1 :UInt64;
}

struct RoundResult {
  round @0 :UInt64;
  confirmedVersion @1 :UInt64;
  acceptedVersion @2 :UInt64;
  regions @3 :List(RegionVersion);
}

struct RoundDown {
  coordinator @0 :Text;
  coordinatorIncarnation @1 :UInt64;
  region @2 :Text;
  round @3 :UInt64;
  accepted @4 :UInt64;
  version @5 :UInt64;
  result @6 :RoundResult;
  included @7 :Bool;
  quarantined @8 :List(QuarantineEntry);
  level @9 :UInt32;
}

struct RoundUp {
  coordinator @0 :Text;
  round @1 :UInt64;
  versions @2 :List(VersionCount);
  highest @3 :UInt64;
  replaced @4 :List(VersionCount);
  losses @5 :List(LossReport);
}

struct RegionAccepted {
  region @0 :Text;
  version @1 :UInt64;
  quarantined @2 :List(QuarantineEntry);
}

struct Change {
  version @0 :UInt64;
  changeId @1 :Text;
  kind @2 :Text;
  key @3 :Text;
  body @4 :Data;  # JSON
  origin @5 :Text;
  who @6 :Text;
  at @7 :Float64;
}

struct Push {
  changes @0 :List(Change);
}

struct Pull {
  after @0 :UInt64;
}

struct Join {
  member @0 :Member;
  leaving @1 :Bool;
}

struct ShareRelease {
  version @0 :UInt64;
  servers @1 :List(Text);
}

struct WarmNotice {
  server @0 :Text;
  generation @1 :Text;
  warm @2 :Bool;
  sequence @3 :UInt64;
}

struct Item {
  index @0 :UInt32;
  shard @1 :Text;
  server @2 :Text;
}

struct BatchRequest {
  attemptId @0 :Text;
  requestId @1 :Text;
  traceParent @2 :Text;
  team @3 :Text;
  weight @4 :Int32;
  priority @5 :Int32;
  collection @6 :Text;
  snapshot @7 :Text;
  fingerprint @8 :Text;
  remainingMs @9 :Int64;
  configVersion @10 :UInt64;
  idempotent @11 :Bool;
  body @12 :Data;
  items @13 :List(Item);
}

struct Cause {
  code @0 :Text;
  origin @1 :Text;
  detail @2 :Text;
  changeId @3 :Text;
  who @4 :Text;
  at @5 :Float64;
}

struct ItemReply {
  index @0 :UInt32;
  status @1 :Text;
  snapshot @2 :Text;
  body @3 :Data;
  cause @4 :Cause;
  serverLost @5 :Bool;
}

struct BatchReply {
  attemptId @0 :Text;
  replies @1 :List(ItemReply);
  final @2 :Bool;
}

struct Cancel {
  attemptId @0 :Text;
  indexes @1 :List(UInt32);
}

struct JournalQuery {
  queryId @0 :UInt64;
  since @1 :Float64;
  requestId @2 :Text;
}

struct JournalReply {
  queryId @0 :UInt64;
  events @1 :Data;
}

struct StateTransfer {
  state @0 :Data;
}
