// Commit, election and repair of the replicated log.
//
// There are three members (0, 1, 2) and a spare (3). Messages are modelled as the
// record of everything that was sent: the log of the leader of each term, granted
// votes, and acknowledgements of synced entries. A step that reads the record is a
// delivery, which may be late, repeated or reordered; a step that is not taken is
// a lost message.
//
// bound: a repair of 3 members by 1 spare with 3 leaders, 4 entries, a restart without the unsynced tail, a loss, and a second loss after the repair; 4 leaders in a row with parts of 3 entries delivered; 4 campaigns with single votes
// broken: ack_before_sync commit_old_term emptied_disk_votes second_change_early vote_twice
// flags: -DCOLLAPSE -DMEMLIM=1900

#define N 4
#define TERMS 3
#define CAMPAIGNS 4
#define RESTARTS 1
#define LENGTH 4

#define COMMAND 0
#define PROMOTE 1
#define REMOVE 2

#define ENTRY(term, kind) ((term) * 4 + (kind))
#define TERM(entry) ((entry) / 4)
#define KIND(entry) ((entry) % 4)

#define LOG(r, i) log[(r) * LENGTH + (i)]
#define SENT(t, i) sent[(t) * LENGTH + (i)]
#define ACKED(t, r) acked[(t) * N + (r)]
#define VOTE(t, r) votes[(t) * N + (r)]
#define NOBODY 7

#define REPAIR 0
#define LEADERS 1
#define BALLOT 2

#define FOLLOWER 0
#define CANDIDATE 1
#define LEADER 2

// Durable state of each replica. A restart may lose the log after index synced.
byte term[N];
byte log[16];
byte length[N];
byte synced[N];
// Volatile state.
byte role[N];
byte match[N];
bool dead[N];

// Messages by term.
byte sent[20];
byte sentLength[5];
byte acked[20];
byte votes[20];
byte leaderOf[5];

// The committed entries, as acknowledged to clients, and the term in which each was
// committed.
byte committed[LENGTH];
byte committedIn[LENGTH];
byte committedLength;

// The search covers three modes. In REPAIR, one replica may lose its unsynced tail.
// In LEADERS, several leaders follow each other and parts of a log may be
// delivered. In both, an election is a single step; in BALLOT, each vote is a step.
byte mode;
// The replica that may restart without its unsynced tail.
byte frail = NOBODY;
byte restarts;
byte campaigns;
byte lost = NOBODY;
bool repaired;
bool lostAgain;

byte i, j, n, q, v;
bool ok;

// Sets v to the bit mask of the voters according to the log of replica r, and q to
// the size of their majority.
inline voters(r) {
  v = 7;
  i = 0;
  do
  :: i < length[r] ->
    if
    :: KIND(LOG(r, i)) == PROMOTE -> v = v | 8
    :: KIND(LOG(r, i)) == REMOVE -> v = v & ~(1 << lost)
    :: else
    fi;
    i++
  :: else -> break
  od;
  q = (v & 1) + ((v >> 1) & 1) + ((v >> 2) & 1) + ((v >> 3) & 1);
  q = q / 2 + 1
}

inline lastTerm(r, out) {
  if
  :: length[r] > 0 -> out = TERM(LOG(r, length[r] - 1))
  :: else -> out = 0
  fi
}

inline raise(r, t) {
  if
  :: term[r] < t ->
    term[r] = t;
    role[r] = FOLLOWER;
    match[r] = 0
  :: else
  fi
}

// Replica r starts an election in its next term if it is a voter.
inline campaign(r) {
  d_step {
    voters(r);
    if
    :: v & (1 << r) ->
      campaigns++;
      term[r]++;
      role[r] = CANDIDATE;
      match[r] = 0;
      VOTE(term[r], r) = r
    :: else
    fi
  }
}

// Replica r grants its vote to candidate c.
inline grant(r, c) {
  d_step {
    ok = true;
    eligible(r, c);
#ifndef BROKEN_vote_twice
    ok = ok && VOTE(term[c], r) == NOBODY;
#endif
    if
    :: ok ->
      raise(r, term[c]);
      VOTE(term[c], r) = c
    :: else
    fi;
    ok = false;
    i = 0; j = 0
  }
}

// Replica r becomes the leader of its term and appends the first entry of the term
// (its barrier).
inline lead(r) {
  // A term has at most one leader.
  assert(leaderOf[term[r]] == NOBODY || leaderOf[term[r]] == r);
  leaderOf[term[r]] = r;
  // The leader has every entry that was committed in earlier terms.
  i = 0;
  do
  :: i < committedLength ->
    assert(committedIn[i] >= term[r] || LOG(r, i) == committed[i]);
    i++
  :: else -> break
  od;
  role[r] = LEADER;
  append(r, COMMAND)
}

// A candidate with a majority of the votes becomes the leader.
inline win(r) {
  d_step {
    voters(r);
    n = 0;
    i = 0;
    do
    :: i < N ->
      if
      :: (v & (1 << i)) && VOTE(term[r], i) == r -> n++
      :: else
      fi;
      i++
    :: else -> break
    od;
    if
    :: n >= q && length[r] < LENGTH ->
      lead(r)
    :: else
    fi;
    i = 0; v = 0; q = 0; n = 0
  }
}

// Replica r syncs its log; a follower acknowledges it.
inline syncNow(r) {
  synced[r] = length[r];
  if
  :: role[r] == FOLLOWER && match[r] > ACKED(term[r], r) -> ACKED(term[r], r) = match[r]
  :: else
  fi;
  match[r] = 0
}

inline sync(r) {
  d_step { syncNow(r) }
}

// Syncs at once if no restart can lose the unsynced tail: then a late sync has the
// same effect as a late message.
inline syncAtOnce(r) {
  if
  :: r != frail || restarts == RESTARTS -> syncNow(r)
  :: else
  fi
}

// Leader r appends an entry and sends its log.
inline append(r, kind) {
  LOG(r, length[r]) = ENTRY(term[r], kind);
  length[r]++;
  i = 0;
  do
  :: i < length[r] ->
    SENT(term[r], i) = LOG(r, i);
    i++
  :: else -> break
  od;
  sentLength[term[r]] = length[r];
  syncAtOnce(r);
  i = 0
}

// Replica r receives the log of the leader of term t up to index k.
inline receive(r, t, k) {
  d_step {
    raise(r, t);
    role[r] = FOLLOWER;
    // Finds the first entry that differs.
    i = 0;
    do
    :: i < k && i < length[r] && LOG(r, i) == SENT(t, i) -> i++
    :: else -> break
    od;
    if
    :: i < k ->
      if
      :: synced[r] > i -> synced[r] = i
      :: else
      fi;
      j = i;
      do
      :: j < LENGTH ->
        LOG(r, j) = (j < k -> SENT(t, j) : 0);
        j++
      :: else -> break
      od;
      length[r] = k
    :: else
    fi;
    match[r] = k;
#ifdef BROKEN_ack_before_sync
    ACKED(t, r) = k;
#endif
    syncAtOnce(r);
    i = 0; j = 0
  }
}

// Leader r commits its first k entries.
inline commit(r, k) {
  d_step {
    voters(r);
    n = 0;
    i = 0;
    do
    :: i < N ->
      if
      :: (v & (1 << i)) && (i == r && synced[r] >= k || i != r && ACKED(term[r], i) >= k) -> n++
      :: else
      fi;
      i++
    :: else -> break
    od;
    ok = n >= q;
#ifndef BROKEN_commit_old_term
    ok = ok && TERM(LOG(r, k - 1)) == term[r];
#endif
    if
    :: ok ->
      i = 0;
      do
      :: i < k ->
        assert(i >= committedLength || committed[i] == LOG(r, i));
        committed[i] = LOG(r, i);
        if
        :: i >= committedLength -> committedIn[i] = term[r]
        :: else
        fi;
        if
        :: KIND(committed[i]) == REMOVE -> repaired = true
        :: else
        fi;
        i++
      :: else -> break
      od;
      if
      :: k > committedLength -> committedLength = k
      :: else
      fi
    :: else
    fi;
    i = 0; v = 0; q = 0; n = 0; ok = false
  }
}

// Sets out to whether the log of replica r has an entry of a kind at or after index
// from.
inline has(r, from, kind, out) {
  out = false;
  i = from;
  do
  :: i < length[r] ->
    if
    :: KIND(LOG(r, i)) == kind -> out = true
    :: else
    fi;
    i++
  :: else -> break
  od;
  i = 0
}

// Sets ok to whether leader r may change the membership: its barrier and all
// earlier changes must be committed.
inline settled(r) {
#ifdef BROKEN_second_change_early
  ok = true
#else
  ok = committedLength > 0;
  if
  :: ok -> ok = TERM(committed[committedLength - 1]) == term[r]
  :: else
  fi;
  if
  :: ok ->
    has(r, committedLength, PROMOTE, ok);
    ok = !ok
  :: else
  fi
#endif
}

// Leader r takes the next step of the repair: it promotes the spare, then removes
// the lost member.
inline repair(r) {
  d_step {
    settled(r);
    if
    :: ok ->
      has(r, 0, REMOVE, ok);
      if
      :: !ok ->
        has(r, 0, PROMOTE, ok);
        if
        :: ok -> append(r, REMOVE)
        // The learner has synced every committed entry.
        :: !ok && ACKED(term[r], 3) >= committedLength -> append(r, PROMOTE)
        :: else
        fi
      :: else
      fi
    :: else
    fi;
    ok = false
  }
}

// Replica r restarts and loses the unsynced tail of its log.
inline restart(r) {
  d_step {
    restarts++;
    role[r] = FOLLOWER;
    match[r] = 0;
    i = synced[r];
    do
    :: i < LENGTH -> LOG(r, i) = 0; i++
    :: else -> break
    od;
    length[r] = synced[r];
    i = 0
  }
}

// Replica r loses its data directory for good.
inline lose(r) {
  d_step {
    dead[r] = true;
    role[r] = FOLLOWER;
    match[r] = 0;
    i = 0;
    do
    :: i < LENGTH -> LOG(r, i) = 0; i++
    :: else -> break
    od;
    length[r] = 0;
    synced[r] = 0;
    term[r] = 0;
    i = 0
#ifdef BROKEN_emptied_disk_votes
    ;
    // The replica continues with an empty directory under its old identity.
    dead[r] = false
#endif
  }
}

// Replica a is elected in term t with the votes of b and, unless it is NOBODY, c.
inline elect(a, b, c, t) {
  d_step {
    voters(a);
    n = 1 + (c != NOBODY);
    ok = (v & (1 << a)) && (v & (1 << b)) && n + 1 == q;
    eligible(b, a);
    if
    :: c != NOBODY ->
      ok = ok && (v & (1 << c));
      eligible(c, a)
    :: else
    fi;
    if
    :: ok ->
      raise(a, t);
      raise(b, t);
      if
      :: c != NOBODY -> raise(c, t)
      :: else
      fi;
      campaigns++;
      lead(a)
    :: else
    fi;
    i = 0; j = 0; v = 0; q = 0; n = 0; ok = false
  }
}

// Clears ok if the log of r is more up to date than that of c.
inline eligible(r, c) {
  lastTerm(r, i);
  lastTerm(c, j);
  ok = ok && (j > i || j == i && length[c] >= length[r])
}

// Majorities overlap, so elections succeed in the order of their terms.
#define MAY_ELECT(a, b) \
  mode != BALLOT && campaigns < TERMS + (mode == LEADERS) && (campaigns > 0 || a == 0 || mode == REPAIR) && \
  !dead[a] && !dead[b] && length[a] < LENGTH - (mode == LEADERS)
#define ELECT(a, b) \
  :: MAY_ELECT(a, b) -> elect(a, b, NOBODY, campaigns + 1)
#define ELECT_THREE(a, b, c) \
  :: MAY_ELECT(a, b) && lost != NOBODY && !dead[c] -> elect(a, b, c, campaigns + 1)
#define ELECTIONS(a, b, c, d) \
  ELECT(a, b) ELECT(a, c) ELECT(a, d) \
  ELECT_THREE(a, b, c) ELECT_THREE(a, b, d) ELECT_THREE(a, c, d)

#define EACH(r, guard, step) \
  :: !dead[0] && (guard(0)) -> step(0) \
  :: !dead[1] && (guard(1)) -> step(1) \
  :: !dead[2] && (guard(2)) -> step(2) \
  :: !dead[3] && (guard(3)) -> step(3)

#define MAY_CAMPAIGN(r) mode == BALLOT && role[r] != LEADER && campaigns < CAMPAIGNS && (campaigns > 0 || r == 0)
#define IS_CANDIDATE(r) role[r] == CANDIDATE
#define LEADS(r) role[r] == LEADER
#define MAY_REPAIR(r) role[r] == LEADER && length[r] < LENGTH && lost != NOBODY && dead[lost]
#define MAY_SYNC(r) r == frail && (synced[r] < length[r] || role[r] == FOLLOWER && match[r] > ACKED(term[r], r))
#define MAY_RESTART(r) r == frail && restarts < RESTARTS && synced[r] < length[r]

#define GRANT(r, c) \
  :: mode == BALLOT && !dead[c] && role[c] == CANDIDATE && term[c] >= term[r] && VOTE(term[c], r) != c -> grant(r, c)

#define RECEIVE(r, t, k) \
  :: !dead[r] && term[r] <= t && (role[r] != LEADER || term[r] < t) && \
     (k == sentLength[t] || k < sentLength[t] && mode == LEADERS) && \
     ACKED(t, r) < k && (term[r] < t || match[r] < k) -> \
     receive(r, t, k)
#define RECEIVES(r) \
  RECEIVE(r, 1, 1) RECEIVE(r, 1, 2) RECEIVE(r, 1, 3) RECEIVE(r, 1, 4) \
  RECEIVE(r, 2, 1) RECEIVE(r, 2, 2) RECEIVE(r, 2, 3) RECEIVE(r, 2, 4) \
  RECEIVE(r, 3, 1) RECEIVE(r, 3, 2) RECEIVE(r, 3, 3) RECEIVE(r, 3, 4) \
  RECEIVE(r, 4, 1) RECEIVE(r, 4, 2) RECEIVE(r, 4, 3) RECEIVE(r, 4, 4)

#define COMMIT(r, k) \
  :: role[r] == LEADER && !dead[r] && committedLength < k && (k == length[r] || k < length[r] && mode == LEADERS) -> commit(r, k)
#define COMMITS(r) COMMIT(r, 1) COMMIT(r, 2) COMMIT(r, 3) COMMIT(r, 4)

init {
  d_step {
    i = 0;
    do
    :: i < 20 -> votes[i] = NOBODY; i++
    :: else -> break
    od;
    i = 0;
    do
    :: i < 5 -> leaderOf[i] = NOBODY; i++
    :: else -> break
    od;
    i = 0
  };
  if
  :: mode = REPAIR; frail = 1
  :: mode = LEADERS
  :: mode = BALLOT
  fi;
end:
  do
  EACH(r, MAY_CAMPAIGN, campaign)
  EACH(r, IS_CANDIDATE, win)
  EACH(r, MAY_REPAIR, repair)
  EACH(r, MAY_SYNC, sync)
  EACH(r, MAY_RESTART, restart)
  GRANT(0, 1) GRANT(0, 2)
  GRANT(1, 0) GRANT(1, 2)
  GRANT(2, 0) GRANT(2, 1)
  ELECTIONS(0, 1, 2, 3)
  ELECTIONS(1, 0, 2, 3)
  ELECTIONS(2, 0, 1, 3)
  ELECTIONS(3, 0, 1, 2)
  RECEIVES(0)
  RECEIVES(1)
  RECEIVES(2)
  COMMITS(0) COMMITS(1) COMMITS(2) COMMITS(3)
  // The spare receives the log only after a member was lost.
  :: lost != NOBODY ->
    if
    RECEIVES(3)
    :: else -> skip
    fi
  // A member is lost for good. The members are symmetric, so it is always the first.
  :: mode == REPAIR && lost == NOBODY && committedLength > 0 -> lost = 0; lose(0)
  // A second replica, another member or the spare, is lost right after the repair.
  :: repaired && !lostAgain -> lostAgain = true; lose(1)
  :: repaired && !lostAgain -> lostAgain = true; lose(3)
  od
}
