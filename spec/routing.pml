/*
The routing table that operators of the platform replace: the highest version
wins.

A group of three replicas shares a log, whose entries a majority commits (log.pml
models how). An order, the request to replace the table, has a version and one of
two contents. Two operators may send different contents under the same version to
different replicas, and may repeat them. A replica that cannot reach a majority
commits nothing, but acknowledges an order whose version it has already applied
or exceeded. A daemon receives tables from any replica, in any order, and loses
its state in a restart. A replica serves a read after a majority has told it
which version is committed.

Checked: a read that begins after an acknowledgement returns that version or a
higher one; the content of a version never changes; the version of the table at a
daemon never decreases while it runs.
*/
// bound: 3 replicas, 3 versions, 2 contents, 4 orders on the way or again, 1 daemon, cuts and restarts without limit
// broken: ACK_BEFORE_COMMIT
// broken: LOCAL_READ
// broken: EQUAL_REPLACES
// broken: ANY_TABLE

#define REPLICAS 3
#define VERSIONS 3

byte committed;                 /* highest version in the log; 0 before the first */
byte content[VERSIONS + 1];     /* content of a version in the log; 0 if none */
byte applied[REPLICAS];
bool cut[REPLICAS];             /* partitioned from both others */

byte acked;                     /* highest version that was acknowledged to an operator */
byte seen[VERSIONS + 1];        /* content that a read or a daemon got for a version; 0 if none */
byte orders;
byte daemon;
byte highest;                   /* highest version at the daemon since its last start */

inline majority(r, ok) {
  ok = !cut[r] && (!cut[(r + 1) % REPLICAS] || !cut[(r + 2) % REPLICAS])
}

inline expose(v) {
  assert(v == 0 || seen[v] == 0 || seen[v] == content[v]);
  seen[v] = content[v]
}

inline order(r, v, c) {
  majority(r, reach);
  if
  :: v <= applied[r] -> acked = (v > acked -> v : acked)
#ifdef BROKEN_EQUAL_REPLACES
  :: reach && v >= committed -> committed = v; content[v] = c; applied[r] = v; acked = (v > acked -> v : acked)
#else
  :: reach && v > committed -> committed = v; content[v] = c; applied[r] = v; acked = (v > acked -> v : acked)
  :: reach && v <= committed -> applied[r] = committed; acked = (v > acked -> v : acked)
#endif
#ifdef BROKEN_ACK_BEFORE_COMMIT
  :: !reach && v > applied[r] -> acked = (v > acked -> v : acked)
#endif
  :: !reach && v > applied[r] -> skip
  fi
}

active proctype system() {
  byte r, v, c, asked;
  bool reach;
  do
  /* An operator sends or repeats an order. */
  :: orders < 4 -> atomic {
       orders++;
       select(r : 0 .. 2); select(v : 1 .. 3); select(c : 1 .. 2);
       order(r, v, c);
       r = 0; v = 0; c = 0; reach = false
     }
  /* A replica applies the committed version. */
  :: atomic { select(r : 0 .. 2); majority(r, reach); if :: reach -> applied[r] = committed :: else fi; r = 0; reach = false }
  /* A replica serves a read. */
  :: atomic {
       select(r : 0 .. 2);
       majority(r, reach);
       asked = acked;
#ifdef BROKEN_LOCAL_READ
       assert(applied[r] >= asked);
       expose(applied[r]);
#else
       if
       :: reach -> applied[r] = committed; assert(applied[r] >= asked); expose(applied[r])
       :: else
       fi;
#endif
       r = 0; asked = 0; reach = false
     }
  /* The daemon receives the table of a replica, or restarts. */
  :: atomic {
       select(r : 0 .. 2);
#ifdef BROKEN_ANY_TABLE
       daemon = applied[r];
#else
       if :: applied[r] > daemon -> daemon = applied[r] :: else fi;
#endif
       assert(daemon >= highest);
       highest = daemon;
       expose(daemon);
       r = 0
     }
  :: atomic { daemon = 0; highest = 0 }
  /* A replica is partitioned or reconnected. A restart has no other effect, as the
     log is on disk. */
  :: atomic { select(r : 0 .. 2); cut[r] = !cut[r]; r = 0 }
  od
}
