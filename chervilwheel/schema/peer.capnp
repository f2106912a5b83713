@0xd3a1f0c2b4e59687;
# Messages between instances. Field names match the typed messages of
# chervilwheel/messages.py. A field xWide has the value of x if that is too
# large for x, which then has its largest value (chervilwheel/codec.py).

struct Member { name @0 :Text; disk @1 :Text; }

struct GroupConfig {
  voters @0 :List(Member);
  learners @1 :List(Member);
}

struct Entry {
  index @0 :UInt64;
  term @1 :UInt64;
  kind @2 :Text;
  data @3 :Data;
  config @4 :GroupConfig;
}

struct VoteRequest {
  group @0 :Text;
  to @1 :Member;
  sender @2 :Member;
  term @3 :UInt64;
  lastIndex @4 :UInt64;
  lastTerm @5 :UInt64;
  isPre @6 :Bool;
  isTransfer @7 :Bool;
}

struct VoteReply {
  group @0 :Text;
  to @1 :Member;
  sender @2 :Member;
  term @3 :UInt64;
  isGranted @4 :Bool;
  isPre @5 :Bool;
}

struct AppendRequest {
  group @0 :Text;
  to @1 :Member;
  sender @2 :Member;
  term @3 :UInt64;
  prevIndex @4 :UInt64;
  prevTerm @5 :UInt64;
  commit @6 :UInt64;
  entries @7 :List(Entry);
  stamp @8 :Float64;
}

struct AppendReply {
  group @0 :Text;
  to @1 :Member;
  sender @2 :Member;
  term @3 :UInt64;
  isAccepted @4 :Bool;
  index @5 :UInt64;
  stamp @6 :Float64;
}

struct SnapshotChunk {
  group @0 :Text;
  to @1 :Member;
  sender @2 :Member;
  term @3 :UInt64;
  lastIndex @4 :UInt64;
  lastTerm @5 :UInt64;
  config @6 :GroupConfig;
  offset @7 :UInt64;
  data @8 :Data;
  isLast @9 :Bool;
}

struct JoinRequest {
  group @0 :Text;
  sender @1 :Member;
  isForwarded @2 :Bool;
}

struct Campaign {
  group @0 :Text;
  to @1 :Member;
  sender @2 :Member;
  term @3 :UInt64;
}

struct Challenge { nonce @0 :Data; }

struct Hello {
  instance @0 :Text;
  nonce @1 :Data;
  proof @2 :Data;
}

struct Welcome { instance @0 :Text; proof @1 :Data; }

struct Heartbeat { sequence @0 :UInt64; isReply @1 :Bool; }

struct GroupRequest {
  number @0 :UInt64;
  group @1 :Text;
  commands @2 :List(Data);
}

struct GroupReply {
  number @0 :UInt64;
  group @1 :Text;
  status @2 :Text;
  leader @3 :Text;
  results @4 :List(Data);
}

struct WatchRequest {
  number @0 :UInt64;
  group @1 :Text;
  job @2 :Text;
}

struct SettingsPull { revision @0 :UInt64; digest @1 :Data; }

struct SettingsPush {
  revision @0 :UInt64;
  isWhole @1 :Bool;
  documents @2 :List(Document);
  digest @3 :Data;
}

struct Document {
  path @0 :Text;
  text @1 :Text;
  revision @2 :UInt64;
  isDeleted @3 :Bool;
}

struct Announcement {
  endpoint @0 :Text;
  service @1 :Text;
  zone @2 :Text;
  host @3 :Text;
  port @4 :UInt16;
  slots @5 :UInt32;
  connections @6 :UInt32;
  kind @7 :Text;
  rack @8 :Text;
  processors @9 :Float64;
  memoryMb @10 :UInt64;
  accelerators @11 :UInt32;
  busy @12 :UInt32;
  version @13 :UInt64;
  leaseS @14 :Float64;
  isLeaving @15 :Bool;
  ageS @16 :Float64;
}

struct Renewal { endpoint @0 :Text; version @1 :UInt64; busy @2 :UInt32; }

struct EndpointNews {
  announcements @0 :List(Announcement);
  renewals @1 :List(Renewal);
}

struct Want {
  service @0 :Text;
  team @1 :Text;
  urgency @2 :Text;
  avoid @3 :Text;
  count @4 :UInt32;
  deadlineInS @5 :Float64;
}

struct Hold {
  endpoint @0 :Text;
  team @1 :Text;
  urgency @2 :Text;
  count @3 :UInt32;
}

struct Release {
  endpoint @0 :Text;
  team @1 :Text;
  urgency @2 :Text;
  count @3 :UInt32;
  good @4 :UInt32;
  bad @5 :UInt32;
  slow @6 :UInt32;
}

struct SlotReport {
  zone @0 :Text;
  epoch @1 :Text;
  sequence @2 :UInt64;
  seenGrant @3 :UInt64;
  isFull @4 :Bool;
  wants @5 :List(Want);
  holds @6 :List(Hold);
  releases @7 :List(Release);
}

struct SlotGrant {
  service @0 :Text;
  team @1 :Text;
  urgency @2 :Text;
  avoid @3 :Text;
  endpoint @4 :Text;
  host @5 :Text;
  port @6 :UInt16;
  count @7 :UInt32;
}

struct ServiceLoad {
  service @0 :Text;
  slots @1 :UInt32;
  free @2 :UInt32;
  waiting @3 :UInt32;
}

struct TeamLoad { team @0 :Text; waiting @1 :UInt32; isOverQuota @2 :Bool; }

struct SlotGrants {
  zone @0 :Text;
  epoch @1 :Text;
  number @2 :UInt64;
  needsFull @3 :Bool;
  grants @4 :List(SlotGrant);
}

struct ZoneLoad {
  zone @0 :Text;
  services @1 :List(ServiceLoad);
  teams @2 :List(TeamLoad);
}

struct CancelJob { job @0 :Text; }

struct MemberInfo {
  name @0 :Text;
  zone @1 :Text;
  isEntry @2 :Bool;
  host @3 :Text;
  port @4 :UInt16;
  boot @5 :Text;
  incarnation @6 :UInt64;
  state @7 :Text;
  isDraining @8 :Bool;
}

struct Gossip {
  kind @0 :Text;
  sequence @1 :UInt64;
  target @2 :Text;
  sender @3 :MemberInfo;
  digest @4 :UInt64;
  updates @5 :List(MemberInfo);
}

struct Address { host @0 :Text; port @1 :UInt16; }

struct Room {
  cpu @0 :Int64;
  memoryMb @1 :Int64;
  accelerators @2 :Int64;
}

struct Step {
  count @0 :UInt32;
  room @1 :Room;
  estimatedMs @2 :UInt64;
  dependsOn @3 :List(UInt16);
  requiredLabel @4 :Text;
  preferredRack @5 :Text;
  mostTogether @6 :UInt32;
}

struct TaskLoss {
  step @0 :UInt32;
  index @1 :UInt32;
  executor @2 :Text;
  address @3 :Address;
  isEarly @4 :Bool;
  isAlone @5 :Bool;
  isCrash @6 :Bool;
  bornMs @7 :UInt64;
  isBegun @8 :Bool;
}

struct OpenStart {
  step @0 :UInt32;
  index @1 :UInt32;
  executor @2 :Text;
  run @3 :UInt64;
  ageMs @4 :UInt64;
}

struct Job {
  id @0 :Text;
  queue @1 :Text;
  service @2 :Text;
  priority @3 :Int32;
  attempts @4 :UInt32;
  stretch @5 :Float64;
  targetMs @6 :UInt64;
  patienceMs @7 :UInt64;
  spec @8 :Text;
  steps @9 :List(Step);
  offers @10 :UInt32;
  isFromStandby @11 :Bool;
  waitedMs @12 :UInt32;
  submission @13 :UInt64;
  losses @14 :List(TaskLoss);
  coldStartS @15 :Float64;
  coldPerS @16 :Float64;
  formerSilentMs @17 :UInt32;
  formerStandbys @18 :List(Text);
  priorityWide @19 :UInt64;
  attemptsWide @20 :UInt64;
  starts @21 :List(OpenStart);
}

struct ExecutorReport {
  id @0 :Text;
  service @1 :Text;
  address @2 :Address;
  zone @3 :Text;
  room @4 :Room;
  labels @5 :List(Text);
  isDraining @6 :Bool;
  isGone @7 :Bool;
  remainingMs @8 :UInt64;
  clockMs @9 :UInt64;
  sequence @10 :UInt64;
  bornMs @11 :UInt64;
  coldMs @12 :UInt64;
}

struct JobOffer { job @0 :Job; statusStamp @1 :Float64; }

struct JobAnswer {
  job @0 :Text;
  outcome @1 :Text;
  retryAfterMs @2 :UInt64;
  reason @3 :Text;
  submission @4 :UInt64;
}

struct JobLosses { job @0 :Text; losses @1 :List(TaskLoss); }

struct JobStarts {
  job @0 :Text;
  opened @1 :List(OpenStart);
  settled @2 :List(OpenStart);
}

struct JobCancel {
  number @0 :UInt64;
  job @1 :Text;
  takesVerdict @2 :Bool;
  hasLeft @3 :Bool;
}
struct JobCancelled {
  number @0 :UInt64;
  isKnown @1 :Bool;
  verdict @2 :Text;
}

struct CancelNews { jobs @0 :List(Text); clockMs @1 :UInt64; }

struct JobQuery { number @0 :UInt64; job @1 :Text; }
struct JobStatus { number @0 :UInt64; state @1 :Text; }

struct ReportKey { id @0 :Text; bornMs @1 :UInt64; sequence @2 :UInt64; }
struct ReportQuery { term @0 :UInt64; known @1 :List(ReportKey); }
struct ExecutorNews {
  reports @0 :List(ExecutorReport);
  unused @1 :List(ReportKey);
  unusedTerm @2 :UInt64;
  query @3 :ReportQuery;
}

struct UsedExecutors {
  reports @0 :List(ExecutorReport);
  agesMs @1 :List(UInt64);
}

struct ReportAnswer {
  term @0 :UInt64;
  reports @1 :List(ExecutorReport);
  agesMs @2 :List(UInt64);
  isComplete @3 :Bool;
}

struct EntryBeat {
  entry @0 :Text;
  documentVersion @1 :UInt64;
  token @2 :UInt64;
  holder @3 :Text;
  zone @4 :Text;
  hasLeader @5 :Bool;
  zonesRevision @6 :UInt64;
  evacuated @7 :List(Text);
  stamp @8 :Float64;
  echo @9 :Float64;
  hasQuorum @10 :Bool;
  isProbe @11 :Bool;
  isFenced @12 :Bool;
  keepsCancels @13 :Bool;
  cancelsKnownMs @14 :UInt64;
  statusStamp @15 :Float64;
  hasEnded @16 :Bool;
  keepsStarts @17 :Bool;
}

struct EntryPeer { host @0 :Text; zone @1 :Text; }
struct EntryNews {
  entries @0 :List(EntryPeer);
  witnesses @1 :List(EntryPeer);
}

struct QueueCount { queue @0 :Text; waiting @1 :UInt32; }

struct ControlNews {
  control @0 :Text;
  holder @1 :Text;
  term @2 :UInt64;
  controls @3 :List(Text);
  counts @4 :List(QueueCount);
  isStandby @5 :Bool;
  hasQuorum @6 :Bool;
  token @7 :UInt64;
  zonesRevision @8 :UInt64;
  evacuated @9 :List(Text);
  echo @10 :Float64;
  isCurrent @11 :Bool;
  answersQueries @12 :Bool;
  stamp @13 :Float64;
}

struct SpeedRow {
  id @0 :Text;
  life @1 :UInt64;
  speed @2 :Float64;
  weight @3 :Float64;
}
struct ExecutorSpeeds { rows @0 :List(SpeedRow); }

struct Relayed { sender @0 :Text; receiver @1 :Text; data @2 :Data; }

struct DocumentPush {
  version @0 :UInt64;
  base @1 :UInt64;
  deltas @2 :List(Data);
}

struct Peer {
  union {
    voteRequest @0 :VoteRequest;
    voteReply @1 :VoteReply;
    appendRequest @2 :AppendRequest;
    appendReply @3 :AppendReply;
    snapshotChunk @4 :SnapshotChunk;
    joinRequest @5 :JoinRequest;
    campaign @6 :Campaign;
    challenge @7 :Challenge;
    hello @8 :Hello;
    welcome @9 :Welcome;
    heartbeat @10 :Heartbeat;
    groupRequest @11 :GroupRequest;
    groupReply @12 :GroupReply;
    watchRequest @13 :WatchRequest;
    settingsPull @14 :SettingsPull;
    settingsPush @15 :SettingsPush;
    endpointNews @16 :EndpointNews;
    slotReport @17 :SlotReport;
    slotGrants @18 :SlotGrants;
    zoneLoad @19 :ZoneLoad;
    cancelJob @20 :CancelJob;
    gossip @21 :Gossip;
    jobOffer @22 :JobOffer;
    jobAnswer @23 :JobAnswer;
    jobCancel @24 :JobCancel;
    jobCancelled @25 :JobCancelled;
    executorNews @26 :ExecutorNews;
    entryBeat @27 :EntryBeat;
    controlNews @28 :ControlNews;
    documentPush @29 :DocumentPush;
    relayed @30 :Relayed;
    entryNews @31 :EntryNews;
    jobLosses @32 :JobLosses;
    executorSpeeds @33 :ExecutorSpeeds;
    cancelNews @34 :CancelNews;
    jobQuery @35 :JobQuery;
    jobStatus @36 :JobStatus;
    usedExecutors @37 :UsedExecutors;
    reportAnswer @38 :ReportAnswer;
    jobStarts @39 :JobStarts;
  }
}
