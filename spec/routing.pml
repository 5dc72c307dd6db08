/*
The routing table of the platform's operators: the highest version wins.

A group of three replicas has one log, which a majority commits (log.pml is
about how). An order carries a version and one of two contents; two operators
may send different contents under one version, to different replicas, and send
them again. A replica that cannot reach a majority commits nothing, but answers
an order whose version it has passed. A daemon hears of tables from any replica,
in any order, and restarts with nothing. A read is answered by a replica after a
majority has told it what is committed.

Held: a read that begins after an acknowledgement gives that version or a higher
one; a version has one content for good; the table of a daemon does not go back
while it runs.
*/
// bound: 3 replicas, 3 versions, 2 contents, 4 orders on the way or again, 1 daemon, cuts and restarts without limit
// broken: ACK_BEFORE_COMMIT
// broken: LOCAL_READ
// broken: EQUAL_REPLACES
// broken: ANY_TABLE

#define REPLICAS 3
#define VERSIONS 3

byte committed;                 /* highest version in the log; 0 before the first */
byte content[VERSIONS + 1];     /* content that the log has for a version; 0 if none */
byte applied[REPLICAS];
bool cut[REPLICAS];             /* cut off from both others */

byte acked;                     /* highest version that an operator has an answer for */
byte seen[VERSIONS + 1];        /* content that anybody was shown under a version */
byte orders;
byte daemon;
byte highest;                   /* highest table of this start of the daemon */

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
  /* An operator sends an order, or sends one again. */
  :: orders < 4 -> atomic {
       orders++;
       select(r : 0 .. 2); select(v : 1 .. 3); select(c : 1 .. 2);
       order(r, v, c);
       r = 0; v = 0; c = 0; reach = false
     }
  /* A replica learns what is committed. */
  :: atomic { select(r : 0 .. 2); majority(r, reach); if :: reach -> applied[r] = committed :: else fi; r = 0; reach = false }
  /* A read. */
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
  /* The daemon hears from a replica, or starts again. */
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
  /* A replica is cut off, joined, or starts again: its log is on its disk. */
  :: atomic { select(r : 0 .. 2); cut[r] = !cut[r]; r = 0 }
  od
}
