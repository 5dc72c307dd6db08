/*
Configuration in force at a daemon, and never reverting.

Two replicas are modelled of a group in which a further majority always accepts.
A replica learns revisions at any later time, and confirms with a quorum: the
question remembers the revision accepted when it was asked, and is answered at
any later time when the replica has applied it. A replica that is cut off is
one that learns and answers nothing for as long as the search likes. A daemon
subscribes to any replica, leaves it at any time, and restarts with nothing.
Updates on the way may be lost, doubled and overtaken by others.

Held: the revision at the daemon never decreases while it runs, and the daemon
is ready only with everything accepted before its start. Hence it never serves
an older revision than it served before a restart.
*/
// bound: 2 replicas, 2 changes, 1 daemon, 2 updates on the way, cuts, restarts and moves without limit
// broken: EARLY_CONFIRMATION
// broken: NO_QUORUM
// broken: ANY_UPDATE
// flags: -DMEMLIM=4000

#define REPLICAS 2
#define CHANGES 2
#define NONE 2

/* Stages of a subscription. */
#define WAITING 0   /* no question was asked since it arrived */
#define ASKED 1     /* a question was asked since it arrived */
#define SERVED 2    /* that question was answered */

byte accepted;
byte applied[REPLICAS];
bool questionOpen[REPLICAS];
byte questionIndex[REPLICAS];
bool confirmed[REPLICAS];

byte attached = NONE;
byte stage;
byte sent;

byte revision;
byte startedAt;

/* base, revision, confirmed */
chan updates = [2] of { byte, byte, bool };

inline send(r) {
  updates!!sent, applied[r], (stage == SERVED && confirmed[r]);
  if
  :: sent < applied[r] -> sent = applied[r]
  :: else
  fi
}

inline subscribe(r) {
  attached = r;
  sent = revision;
  stage = WAITING;
#ifdef BROKEN_EARLY_CONFIRMATION
  if
  :: confirmed[r] -> stage = SERVED
  :: else
  fi
#endif
}

inline handle(base, next, isConfirmed) {
  if
#ifdef BROKEN_ANY_UPDATE
  :: true ->
#else
  :: next > revision && base <= revision ->
#endif
    assert(next >= revision);
    revision = next
#ifndef BROKEN_ANY_UPDATE
  :: next > revision && base > revision && attached != NONE -> subscribe(attached)
  :: next > revision && base > revision && attached == NONE
  :: next <= revision
#endif
  fi;
  if
  :: isConfirmed && next >= revision && base <= revision ->
    assert(revision >= startedAt)
  :: else
  fi
}

inline learn(r) {
  applied[r] < accepted -> applied[r]++
}

inline ask(r) {
  !questionOpen[r] ->
    questionOpen[r] = true;
    questionIndex[r] = accepted;
    if
    :: attached == r && stage == WAITING -> stage = ASKED
    :: else
    fi
}

inline answer(r) {
#ifdef BROKEN_NO_QUORUM
  questionOpen[r] ->
#else
  questionOpen[r] && applied[r] >= questionIndex[r] ->
#endif
    questionOpen[r] = false;
    confirmed[r] = true;
    questionIndex[r] = 0;
    if
    :: attached == r && stage == ASKED -> stage = SERVED
    :: else
    fi
}

active proctype system() {
  byte base, next, r;
  bool isConfirmed;
  do
  :: atomic { accepted < CHANGES -> accepted++ }
  :: atomic { learn(0) }
  :: atomic { learn(1) }
  :: atomic { ask(0) }
  :: atomic { ask(1) }
  :: atomic { answer(0) }
  :: atomic { answer(1) }
  /* A question fails, or a confirmation grows too old. */
  :: atomic { questionOpen[0] -> questionOpen[0] = false; questionIndex[0] = 0 }
  :: atomic { questionOpen[1] -> questionOpen[1] = false; questionIndex[1] = 0 }
  :: atomic { confirmed[0] -> confirmed[0] = false }
  :: atomic { confirmed[1] -> confirmed[1] = false }
  /* The daemon attaches, moves or restarts. */
  :: atomic { select(r : 0 .. 1); subscribe(r); r = 0 }
  :: atomic { attached != NONE -> attached = NONE; stage = WAITING; sent = 0 }
  :: atomic {
       do
       :: nempty(updates) -> updates?base, next, isConfirmed
       :: empty(updates) -> break
       od;
       base = 0; next = 0; isConfirmed = false;
       attached = NONE; stage = WAITING; sent = 0;
       revision = 0;
       startedAt = accepted
     }
  /* Updates are sent, delivered in any order, doubled or lost. */
  :: atomic { attached != NONE && nfull(updates) -> send(attached) }
  :: atomic {
       updates?base, next, isConfirmed ->
       if
       :: nempty(updates) -> updates!base, next, isConfirmed; updates?base, next, isConfirmed
       :: true
       fi;
       if
       :: handle(base, next, isConfirmed)
       :: handle(base, next, isConfirmed); updates!!base, next, isConfirmed
       :: true
       fi;
       base = 0; next = 0; isConfirmed = false
     }
  od
}
