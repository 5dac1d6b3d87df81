@0xd5b6cf0a3a1e7f21;
# Messages between the processes of the system. Enum values travel by name.

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

interface Peer {
  submit @0 (partition :Text, specs :List(JobSpec)) -> (answers :List(Answer));
  query @1 (partition :Text, customer :Text, jobId :Text, waitMs :Int64) -> (answer :Answer);
  cancel @2 (partition :Text, customer :Text, jobId :Text) -> (answer :Answer);
}
