@0xd5b6cf0a3a1e7f21;
# Messages between processes of the system. Members of Python enums are encoded
# as text, by their values.

struct Resources {
  processorsMilli @0 :Int64;
  memoryMb @1 :Int64;
  acceleratorsCount @2 :Int64;
  slotsCount @3 :Int64;
}

struct JobSpec {
  customer @0 :Text;
  idempotencyKey @1 :Text;
  workload @2 :Text;
  execution @3 :Text;
  urgency @4 :Text;
  jobClass @5 :Text;
  tasksCount @6 :UInt32;
  taskSize @7 :Resources;
  runTimeMs @8 :Int64;
  payload @9 :Text;
}

struct Answer {
  codeNumber @0 :UInt16;
  jobId @1 :Text;
  state @2 :Text;
  outputs @3 :List(Text);
  refusalText @4 :Text;
  refusalField @5 :Text;
  retryAfterMs @6 :Int64;
}

# Rarely changing attributes of a process; sent only to a process that lacks
# them.
struct MemberDetail {
  process @0 :Text;
  failureDomain @1 :Text;
  address @2 :Text;
  incarnation @3 :UInt64;
  version @4 :UInt32;
  state @5 :Text;
  partitions @6 :List(Text);
  region @7 :Text;
}

# Frequently changing state of a process, in 16 bytes; `key` identifies a
# version of its detail.
struct Beat {
  key @0 :UInt32;
  heartbeat @1 :UInt32;
  generation @2 :UInt32;
  loadPermille @3 :UInt16;
  storeIsDown @4 :Bool;
}

struct Gossip {
  beats @0 :List(Beat);
  details @1 :List(MemberDetail);
  wanted @2 :List(UInt32);
}

struct ConfigDocument {
  generation @0 :UInt32;
  author @1 :Text;
  text @2 :Text;
  tokens @3 :List(Text);
}

# Lets a worker run one step of a job.
struct Ticket {
  worker @0 :Text;
  ticket @1 :Text;
}

struct KeyRevision {
  key @0 :Text;
  revision @1 :Int64;
}

struct KeyValue {
  key @0 :Text;
  value @1 :Data;
  hasValue @2 :Bool;
  revision @3 :Int64;
  created @4 :Int64;
  lease @5 :Text;
}

# A store call that a process makes for a process that can't reach the store.
struct StoreCall {
  kind @0 :Text;
  # Key, prefix or lease, depending on `kind`.
  name @1 :Text;
  afterKey @2 :Text;
  afterRevision @3 :Int64;
  waitMs @4 :Int64;
  ttlMs @5 :Int64;
  timeoutMs @6 :Int64;
  expected @7 :List(KeyRevision);
  writes @8 :List(KeyValue);
  deletes @9 :List(Text);
}

# `failure` is empty when the store has answered.
struct StoreAnswer {
  failure @0 :Text;
  items @1 :List(KeyValue);
  hasMore @2 :Bool;
  revision @3 :Int64;
  lease @4 :Text;
  isConflict @5 :Bool;
}

interface Peer {
  submit @0 (partition :Text, specs :List(JobSpec)) -> (answers :List(Answer));
  query @1 (partition :Text, customer :Text, jobId :Text, waitMs :Int64) -> (answer :Answer);
  cancel @2 (partition :Text, customer :Text, jobId :Text) -> (answer :Answer);
  list @3 (partition :Text, customer :Text, state :Text, limit :UInt32) -> (answers :List(Answer));
  why @4 (partition :Text, customer :Text, jobId :Text) -> (answer :Answer, reasons :Text);
  gossip @5 (message :Gossip) -> (message :Gossip);
  offerConfig @6 (document :ConfigDocument) -> (generation :UInt32);
  fetchConfig @7 () -> (document :ConfigDocument);
  dump @8 () -> (state :Text);
  # Requests advice from the advice service. `answered` is false when the
  # service gave no answer; `isBusy` is true when the process has another
  # request in progress and did not try.
  advise @9 (job :Text, occurrence :UInt32, step :UInt32, workers :List(Text)) -> (answered :Bool, granted :List(Ticket), isBusy :Bool);
  callStore @10 (call :StoreCall) -> (answer :StoreAnswer);
}
