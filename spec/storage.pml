/*
Membership of a storage group that must tolerate the loss of one disk.

Three of four replicas are voters. An entry is acknowledged once a majority of
the voters has it. A voter may lose its disk; the next loss happens only after
the group is whole again, that is, after that voter was replaced. A voter that
lost its disk does not vote. The others replace it with a spare, which must first have
every committed entry. A retiring voter is replaced in the same way; only one
voter is replaced at a time.

Elections are reduced to their effect: a majority of eligible voters elects the
most up-to-date of them, and any entry that it lacks is lost.

Checked: an acknowledged entry survives every election.
*/
// bound: 4 replicas, 3 voters, 1 entry, 3 losses of a disk, retirements and elections without limit
// broken: WIPED_VOTES
// broken: EARLY_VOTER
// broken: TWO_AT_ONCE
// broken: SMALL_QUORUM

#define REPLICAS 4

bool voter[REPLICAS];
bool has[REPLICAS];
bool wiped[REPLICAS];    /* lost its disk and has not been replaced since */
bool acked;
byte losses;

#ifdef BROKEN_SMALL_QUORUM
#define QUORUM 1
#else
#define QUORUM 2
#endif

#ifdef BROKEN_EARLY_VOTER
#define MAY_JOIN(r) true
#else
#define MAY_JOIN(r) (!acked || has[r])
#endif

#ifdef BROKEN_WIPED_VOTES
#define MAY_VOTE(r) voter[r]
#else
#define MAY_VOTE(r) (voter[r] && !wiped[r])
#endif

#define HOLDS(r) (voter[r] && has[r])
#define HOLDERS (HOLDS(0) + HOLDS(1) + HOLDS(2) + HOLDS(3))
#define LOST(r) (voter[r] && wiped[r])
#define WHOLE (!LOST(0) && !LOST(1) && !LOST(2) && !LOST(3))

/* Replaces a voter with a replica that is not a voter. */
inline replace(old, new) {
  voter[old] = false;
  voter[new] = true;
  wiped[old] = false;
  has[old] = false
}

active proctype group() {
  byte a, b, c;
  voter[0] = true; voter[1] = true; voter[2] = true;
  do
  /* The entry is replicated from a replica that may vote, or is proposed. */
  :: atomic {
       select(a : 0 .. 3); select(b : 0 .. 3);
       if
       :: MAY_VOTE(b) && (has[b] || !acked) && !wiped[a] -> has[a] = true
       :: else
       fi;
       a = 0; b = 0
     }
  :: atomic { HOLDERS >= QUORUM -> acked = true }
  /* A voter loses its disk while the group is whole. */
  :: atomic {
       losses < 3 && WHOLE ->
       select(a : 0 .. 3);
       if
       :: voter[a] -> has[a] = false; wiped[a] = true; losses++
       :: else
       fi;
       a = 0
     }
  /* The others replace a voter that lost its disk or retires. */
  :: atomic {
       select(a : 0 .. 3); select(b : 0 .. 3);
       if
       :: voter[a] && !voter[b] && (wiped[a] || WHOLE) && MAY_JOIN(b) -> replace(a, b)
       :: else
       fi;
       a = 0; b = 0
     }
#ifdef BROKEN_TWO_AT_ONCE
  /* Two voters retire in one step, though only one replacement has caught up. */
  :: atomic {
       select(a : 0 .. 3); select(b : 0 .. 3); select(c : 0 .. 3);
       if
       :: a != b && voter[a] && voter[b] && !voter[c] && WHOLE && MAY_JOIN(c) ->
          replace(a, c); replace(b, a)
       :: else
       fi;
       a = 0; b = 0; c = 0
     }
#endif
  /* Two voters hold an election; an entry that neither of them has is lost. */
  :: atomic {
       select(a : 0 .. 3); select(b : 0 .. 3);
       if
       :: a != b && MAY_VOTE(a) && MAY_VOTE(b) -> assert(!acked || has[a] || has[b])
       :: else
       fi;
       a = 0; b = 0
     }
  od
}
