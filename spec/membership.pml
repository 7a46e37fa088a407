/*
 * Model of the membership protocol. A VM moves between pools through the phases
 * SERVING, LEAVING and OUT. Every change is a record in an append-only log, which
 * several entries apply at their own pace.
 *
 * Applying records is deterministic, so the model keeps the state after each offset
 * only once, in the array fold; an entry's view is the state at the offset that it
 * has applied. A paused or partitioned entry is one that takes no step; a lost reply
 * leads to a repeated append. Actions are named after the record kinds in package
 * record.
 */
#ifndef VMS
#define VMS 2
#endif
#ifndef ENTRIES
#define ENTRIES 2
#endif
#ifndef MAXLOG
#define MAXLOG 9
#endif
#ifndef DOWN
#define DOWN 1      /* availability budget: VMs that may be down at once */
#endif

#ifndef TRIES
#define TRIES 1     /* drains that each planner attempts */
#endif

#define SERVING 0
#define LEAVING 1
#define OUT     2

/* fold[n] is the state after the first n records. fold[0] is the empty log with all
   entries registered and all VMs serving pool 0 in epoch 0. */
typedef Fold {
  byte phase[VMS];
  byte epoch[VMS];
  byte pool[VMS];
  byte pending[VMS];   /* bit set of entries that have not confirmed */
  byte registered;     /* bit set of entries */
  byte failed;         /* bit set of VMs that were observed down */
};
Fold fold[MAXLOG + 1];
byte head = 0;
byte oldest = 0;       /* lowest offset that the log still stores */
byte checkpoint = 0;   /* offset of the newest complete checkpoint */

byte applied[ENTRIES];
bool alive[ENTRIES];
byte inflight[ENTRIES * VMS];      /* requests of the entry on the VM, 0 or 1 */
byte inflightPool[ENTRIES * VMS];  /* the pool that the request was sent for */
byte serves[VMS];                  /* the pool that the VM was last told to serve */

#define at(e, v) ((e) * VMS + (v))
#define view(e) fold[applied[e]]
#define now fold[head]
#define bit(i) (1 << (i))
#define all ((1 << ENTRIES) - 1)

/* The guards of the protocol. script/model removes each of them once and expects a
   violation. */
#ifdef MUTATE_EPOCH
#define isEpoch(v, e) true
#else
#define isEpoch(v, e) (fold[head].epoch[v] == e)
#endif
#ifdef MUTATE_BUDGET
#define hasSpare(n) true
#else
#define hasSpare(n) (n < DOWN)
#endif
#ifdef MUTATE_CONFIRM
#define isIdle(i, v) true
#else
#define isIdle(i, v) (inflight[at(i, v)] == 0)
#endif
#ifdef MUTATE_RESTORE
#define isAhead(i) true
#else
#define isAhead(i) (checkpoint > applied[i])
#endif
#ifdef MUTATE_GONE
#define isGone(i) true
#else
#define isGone(i) (!alive[i])
#endif

/* With isFailing the platform also observes a VM as down. */
#ifdef FAILING
#define isFailing true
#else
#define isFailing false
#endif

/* With isForgetting the log drops records that a checkpoint covers. */
#ifdef RETENTION
#define isForgetting true
#else
#define isForgetting false
#endif

/* With isRepeating an entry may repeat a confirmation later, after a lost reply. */
#ifdef REPEATS
#define isRepeating true
#else
#define isRepeating false
#endif

/* Sets n to the number of VMs that count against the budget: those that are not
   serving and those that were observed down. */
hidden byte cv;
inline countDown(n) {
  n = 0;
  for (cv : 0 .. VMS - 1) {
    if
    :: now.phase[cv] != SERVING || (now.failed & bit(cv)) -> n++
    :: else
    fi
  }
  cv = 0
}

/* Appends a record; the state after it starts as a copy of the state before it. */
inline grow() {
  byte gv;
  for (gv : 0 .. VMS - 1) {
    fold[head + 1].phase[gv] = now.phase[gv];
    fold[head + 1].epoch[gv] = now.epoch[gv];
    fold[head + 1].pool[gv] = now.pool[gv];
    fold[head + 1].pending[gv] = now.pending[gv]
  }
  gv = 0;
  fold[head + 1].registered = now.registered;
  fold[head + 1].failed = now.failed;
  head++
}

inline departIfConfirmed(vm) {
  if
  :: now.phase[vm] == LEAVING && now.pending[vm] == 0 -> now.phase[vm] = OUT
  :: else
  fi
}

/* vmLeave takes effect only if the epoch is current, the VM is serving and the
   budget allows one more VM to be down. Otherwise the record changes nothing. */
inline vmLeave(vm, ep) {
  countDown(down);
  grow();
  if
  :: now.phase[vm] == SERVING && isEpoch(vm, ep) && hasSpare(down) ->
     now.phase[vm] = LEAVING;
     now.pending[vm] = now.registered;
     countDown(down);
     assert(down <= DOWN || now.failed);   /* drains alone, without failures, stay within the budget */
     departIfConfirmed(vm)
  :: else
  fi;
  down = 0
}

inline vmConfirm(vm, ep, en) {
  grow();
  if
  :: now.phase[vm] == LEAVING && isEpoch(vm, ep) ->
     now.pending[vm] = now.pending[vm] & (all - bit(en));
     departIfConfirmed(vm)
  :: else
  fi
}

inline vmJoin(vm, ep) {
  grow();
  if
  :: now.phase[vm] == OUT && now.epoch[vm] == ep ->
     now.phase[vm] = SERVING;
     now.pool[vm] = 1 - now.pool[vm];
     now.epoch[vm]++
  :: else
  fi
}

inline entryLeave(en) {
  byte lv;
  grow();
  now.registered = now.registered & (all - bit(en));
  for (lv : 0 .. VMS - 1) {
    now.pending[lv] = now.pending[lv] & (all - bit(en));
    departIfConfirmed(lv)
  }
  lv = 0
}

/* A planner reads its entry's view, may be paused, and appends a record based on
   what it read. It may append the record twice, as after a lost reply. With PLANNERS
   two planners race. */
proctype planner(byte reader) {
  byte v, e, down, tries;
  do
  :: atomic { head + 5 <= MAXLOG && tries < TRIES && alive[reader] ->
       select(v : 0 .. VMS - 1);
       view(reader).phase[v] == SERVING -> e = view(reader).epoch[v]; tries++ };
     atomic { if
       :: head + 5 <= MAXLOG -> vmLeave(v, e)
       :: else
       fi };
     if
     :: atomic { head + 5 <= MAXLOG -> vmLeave(v, e) }   /* repeated append */
     :: skip
     fi
  :: break
  od
}

/* Whether the entry has a request on the VM for a pool that the VM does not serve.
   The mover asserts that this never happens. */
#define isMixed(en, vm) (inflight[at(en, vm)] && serves[vm] != inflightPool[at(en, vm)])

/* Tells a VM in phase OUT its next pool, then appends vmJoin. */
proctype mover(byte reader) {
  byte v, e;
end:
  do
  :: atomic { alive[reader] && head < MAXLOG && view(reader).phase[0] == OUT -> v = 0; e = view(reader).epoch[0] };
     goto move
  :: atomic { alive[reader] && head < MAXLOG && VMS > 1 && view(reader).phase[VMS - 1] == OUT -> v = VMS - 1; e = view(reader).epoch[VMS - 1] };
     goto move
  od;
move:
  atomic { if
    :: now.phase[v] == OUT && now.epoch[v] == e ->
       serves[v] = 1 - now.pool[v];
       assert(!isMixed(0, v) && !isMixed(ENTRIES - 1, v))
    :: else      /* the agent refuses a stale epoch */
    fi };
  atomic { if
    :: head < MAXLOG && now.phase[v] == OUT -> vmJoin(v, e)
    :: else
    fi };
  v = 0; e = 0;
  goto end
}

inline restore(en) {
  assert(checkpoint >= applied[en]);   /* the applied offset never decreases */
  applied[en] = checkpoint
}

#define mayDispatch(en, vm) (view(en).phase[vm] == SERVING && inflight[at(en, vm)] == 0)

inline dispatch(en, vm) {
  inflight[at(en, vm)] = 1;
  inflightPool[at(en, vm)] = view(en).pool[vm];
  assert(serves[vm] == inflightPool[at(en, vm)])
}

#define mayConfirm(en, vm) (alive[en] && head < MAXLOG && view(en).phase[vm] == LEAVING && (fold[head].pending[vm] & bit(en)) && isIdle(en, vm))

/* The duties of an entry run concurrently; any of them may stall. */
proctype follower(byte i) {
end:
  do
  /* Apply the next record, if the log still stores it. */
  :: atomic { alive[i] && applied[i] < head && applied[i] >= oldest -> applied[i]++ }
  /* Otherwise restore a checkpoint. */
  :: atomic { alive[i] && applied[i] < oldest && checkpoint >= oldest && isAhead(i) -> restore(i) }
#ifdef MUTATE_RESTORE
  :: atomic { alive[i] && checkpoint < applied[i] -> restore(i) }
#endif
  od
}

proctype requests(byte i) {
end:
  do
  /* Dispatch to a VM that the view shows as serving. */
  :: atomic { alive[i] && (view(i).registered & bit(i)) && mayDispatch(i, 0) -> dispatch(i, 0) }
  :: atomic { VMS > 1 && alive[i] && (view(i).registered & bit(i)) && mayDispatch(i, VMS - 1) -> dispatch(i, VMS - 1) }
  /* A request ends. */
  :: atomic { inflight[at(i, 0)] == 1 -> inflight[at(i, 0)] = 0 }
  :: atomic { VMS > 1 && inflight[at(i, VMS - 1)] == 1 -> inflight[at(i, VMS - 1)] = 0 }
  od
}

proctype confirmer(byte i) {
  byte e, sent;
  bool hasSent, isRepeated;
end:
  do
  /* A confirmation whose reply was lost is appended once more, at any later time. */
  :: atomic { isRepeating && hasSent && !isRepeated && head < MAXLOG -> isRepeated = true; vmConfirm(0, sent, i) }
  /* Confirm that nothing is in flight on a leaving VM. */
  :: atomic { mayConfirm(i, 0) -> e = view(i).epoch[0]; sent = e; hasSent = isRepeating; vmConfirm(0, e, i); e = 0 }
  :: atomic { VMS > 1 && mayConfirm(i, VMS - 1) -> e = view(i).epoch[VMS - 1]; vmConfirm(VMS - 1, e, i); e = 0 }
  od
}

/* The platform ends one entry's VM for good and lists it as gone, observes a VM as
   down, takes checkpoints and drops old records of the log. */
proctype platform() {
  byte v;
end:
  do
  :: atomic { alive[ENTRIES - 1] && ENTRIES > 1 -> alive[ENTRIES - 1] = false;
       for (v : 0 .. VMS - 1) { inflight[at(ENTRIES - 1, v)] = 0 }; v = 0 }
  /* isGone: an entry is removed only on the platform's guarantee that its VM has
     ended, never on a timeout. */
  :: atomic { isGone(ENTRIES - 1) && head < MAXLOG && (now.registered & bit(ENTRIES - 1)) -> entryLeave(ENTRIES - 1) }
  :: atomic { isFailing && head + 5 <= MAXLOG && now.failed == 0 && now.phase[0] == SERVING -> grow(); now.failed = 1 }
  :: atomic { isForgetting && checkpoint + 3 <= head -> checkpoint = head }
  :: atomic { isForgetting && oldest < checkpoint -> oldest = checkpoint }
  od
}

init {
  atomic {
    byte i;
    for (i : 0 .. ENTRIES - 1) { alive[i] = true };
    fold[0].registered = all;
    i = 0;
    run planner(0);
#ifdef PLANNERS
    run planner(ENTRIES - 1);
#endif
    run mover(0);
    for (i : 0 .. ENTRIES - 1) { run follower(i); run requests(i); run confirmer(i) };
    run platform()
  }
}

/* A leaving VM gets past that phase in the end, as every entry that it waits for
   either confirms or is removed. */
#ifdef LIVENESS
ltl moveEnds { [] (fold[head].phase[0] == LEAVING -> <> (fold[head].phase[0] != LEAVING)) }
#endif
