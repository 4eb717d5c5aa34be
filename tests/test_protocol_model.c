/* test_protocol_model.c - model check of the protocol for non-idempotent
   calls.

   The model has two owners, a target process that may restart, one worker
   behind it and one table.  It makes one non-idempotent call with up to two
   attempts.  A breadth-first search visits every reachable state.  A sent
   message can be delivered any number of times and in any order, which covers
   loss, delay, duplication and outdated connections.  An abandoned write may
   still be applied while its condition holds.

   Three reductions limit the number of states without losing behaviour.  A
   message is sent as soon as its sender may send it, since its delivery can be
   delayed.  An owner whose row has a newer version is dropped, since its next
   write can only fail.  The owners are interchangeable, so their order is
   normalised.
   Needs: Criterion, xxhash.  */

#include "core/types.h"
#include <criterion/criterion.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

enum
{
  OWNERS = 2,
  ATTEMPTS = 2,
  FENCE_MAX = 3,
  BOOT_MAX = 2,
  STATES_MAX = 4000000,
  HASH_SLOTS = 1 << 23,
  TRACE_MAX = 256
};

/* How the call ended according to the log and the caller.  */
enum ending
{
  OPEN,
  DONE,
  NOT_RUN,
  UNKNOWN,
  ENDINGS
};

static const char *const ending_names[ENDINGS]
    = { "open", "done", "not_run", "unknown" };

/* The call's state in the partition's row.  Attempts before ATTEMPT did not
   run.  */
struct log
{
  uint8_t attempt; /* of the last intent; 0: none */
  uint8_t boot;    /* boot of the target that the intent names */
  uint8_t ending;
};

enum write_kind
{
  WRITE_NONE,
  WRITE_FENCE,
  WRITE_COMMIT
};

struct write
{
  uint8_t kind;
  struct log log; /* state after the write */
};

enum role
{
  OUT,     /* does not own the partition */
  FENCING, /* raising the fence by compare-and-swap */
  OWNER
};

struct owner
{
  uint8_t role;
  uint8_t fence;
  uint8_t version; /* row version last read or written by this owner */
  uint8_t mine;    /* this run committed the last intent */
  uint8_t
      applied; /* the pending write was applied, the result is not yet known */
  struct log log;
  struct write pending;
};

struct row
{
  uint8_t version;
  uint8_t fence;
  struct log log;
};

enum entry
{
  ENTRY_NONE,
  ENTRY_RUNNING,
  ENTRY_DONE,
  ENTRY_UNKNOWN, /* the worker did not reply in time */
  ENTRY_REFUSED, /* sealed or refused; stays refused */
  ENTRY_TOMBSTONE
};

struct gate
{
  uint8_t boot;
  uint8_t fence;
  uint8_t entry[ATTEMPTS + 1];
  uint8_t started[ATTEMPTS + 1]; /* running at the worker, not yet effective */
  uint8_t effect[ATTEMPTS + 1];
};

struct state
{
  uint64_t messages;
  struct owner owner[OWNERS];
  struct write
      former[OWNERS]; /* writes of previous runs that may still be applied */
  struct row row;
  struct gate gate;
  uint8_t told;       /* outcome reported to the caller */
  uint8_t told_again; /* a later, different outcome; OPEN if none */
  uint8_t spare[6];   /* avoids padding: states are compared as bytes */
};
_Static_assert(sizeof (struct state) == 64, "a state must have no padding");

/* Bit of each message in the set of sent messages.  K: attempt, F: fence, B:
   boot, each from 1.  */
#define CALL_BIT(k, f, b)                                                     \
  (0 + ((k)-1) * FENCE_MAX * BOOT_MAX + ((f)-1) * BOOT_MAX + (b)-1)
#define SEAL_BIT(k, f) (12 + ((k)-1) * FENCE_MAX + (f)-1)
#define FORGET_BIT(k, f) (18 + ((k)-1) * FENCE_MAX + (f)-1)
#define RECOVER_BIT(f) (24 + (f)-1)
#define DONE_BIT(k, b) (27 + ((k)-1) * BOOT_MAX + (b)-1)
#define UNKNOWN_BIT(k, b) (31 + ((k)-1) * BOOT_MAX + (b)-1)
#define REFUSED_BIT(k, b) (35 + ((k)-1) * BOOT_MAX + (b)-1)
#define WRONG_BOOT_BIT(k) (39 + (k)-1)
#define ABSENT_BIT(k, f, b)                                                   \
  (41 + ((k)-1) * FENCE_MAX * BOOT_MAX + ((f)-1) * BOOT_MAX + (b)-1)

static bool
sent (const struct state *s, int bit)
{
  return s->messages >> bit & 1;
}

static void
send_bit (struct state *s, int bit)
{
  s->messages |= 1ULL << bit;
}

/* Each mutant removes one guard from the protocol; the search must find a
   violation.  */
enum mutant
{
  MUTANT_NONE,
  NO_BOOT_CHECK,
  NO_FENCE_CHECK,
  NO_SEAL,
  SEAL_FORGOTTEN,
  REFUSAL_FORGOTTEN,
  FORGET_WITHOUT_TOMBSTONE,
  SEND_BEFORE_COMMIT,
  ANSWER_BEFORE_COMMIT,
  LOST_TAKEN_AS_APPLIED,
  NO_CONDITION,
  REBOOT_TAKEN_AS_NOT_RUN,
  SILENCE_TAKEN_AS_NOT_RUN,
  ABSENT_TRUSTED_FOR_OWN,
  RUNNING_TAKEN_AS_NOT_RUN,
  MUTANTS
};

struct mutant_case
{
  enum mutant mutant;
  const char *name;
};

static const struct mutant_case mutant_cases[] = {
  { NO_BOOT_CHECK, "a call for an earlier boot is accepted" },
  { NO_FENCE_CHECK, "a call with an old fence is accepted" },
  { NO_SEAL, "a new owner continues without sealing the open intent" },
  { SEAL_FORGOTTEN, "a seal is not recorded" },
  { REFUSAL_FORGOTTEN, "a refused attempt may be accepted later" },
  { FORGET_WITHOUT_TOMBSTONE, "a forgotten call may be accepted again" },
  { SEND_BEFORE_COMMIT, "the call is sent before its intent is durable" },
  { ANSWER_BEFORE_COMMIT,
    "the caller is notified before the outcome is durable" },
  { LOST_TAKEN_AS_APPLIED, "a lost reply to a write is taken as applied" },
  { NO_CONDITION, "writes apply whatever the row's version" },
  { REBOOT_TAKEN_AS_NOT_RUN,
    "a restarted gate is taken as proof that the call did not run" },
  { SILENCE_TAKEN_AS_NOT_RUN, "a target's timeout is taken as not run" },
  { ABSENT_TRUSTED_FOR_OWN, "RECOVERED settles calls sent after RECOVER" },
  { RUNNING_TAKEN_AS_NOT_RUN, "a running call is reported as absent" },
};

struct node
{
  struct state state;
  uint32_t parent;
  const char *step;
};

struct search
{
  enum mutant mutant;
  struct node *nodes;
  uint32_t *table; /* hash table with open addressing; 0: empty, else node
                      index + 1 */
  uint32_t count;
  uint32_t current;          /* node that is being expanded */
  const char *violation;     /* first property violated */
  uint32_t violating;        /* node that violates it */
  bool witnessed[ENDINGS];   /* endings reported to the caller */
  bool witnessed_second_run; /* a second attempt ran */
};

static const char *
find_violation (const struct state *s)
{
  int effects = s->gate.effect[1] + s->gate.effect[2];

  if (effects > 1)
    return "the call took effect twice";
  if (s->row.log.attempt == 2 && s->gate.effect[1] > 0)
    return "attempt 1 was recorded as not run, but ran";
  if (s->row.log.ending == NOT_RUN && effects > 0)
    return "the log says not_run, but the call ran";
  if (s->told_again != OPEN)
    return "the caller received two different outcomes";
  if (s->told == NOT_RUN && effects > 0)
    return "the caller received not_run, but the call ran";
  if (s->row.log.ending == DONE && effects == 0)
    return "the log says done, but the call did not run";
  if (s->told != OPEN && s->row.log.ending != s->told)
    return "the log and the caller have different outcomes";
  return NULL;
}

static bool
insert_slot (struct search *search, const struct state *s, uint32_t **slot)
{
  uint64_t i = XXH64 (s, sizeof *s, 0);

  for (;; i++)
    {
      *slot = &search->table[i & (HASH_SLOTS - 1)];
      if (**slot == 0)
        return true;
      if (memcmp (&search->nodes[**slot - 1].state, s, sizeof *s) == 0)
        return false;
    }
}

/* Whether the owner's row has a newer version and no applied write of the
   owner is outstanding.  Such an owner can only fail and is dropped.  */
static bool
is_behind (const struct search *search, const struct state *s,
           const struct owner *o)
{
  return o->role != OUT && !o->applied && o->version < s->row.version
         && search->mutant != NO_CONDITION;
}

static void
reduce (const struct search *search, struct state *s)
{
  struct owner owner;
  struct write former;

  for (int i = 0; i < OWNERS; i++)
    if (is_behind (search, s, &s->owner[i]))
      memset (&s->owner[i], 0, sizeof s->owner[i]);
  if (memcmp (&s->owner[0], &s->owner[1], sizeof owner) > 0)
    {
      memcpy (&owner, &s->owner[0], sizeof owner);
      memcpy (&s->owner[0], &s->owner[1], sizeof owner);
      memcpy (&s->owner[1], &owner, sizeof owner);
    }
  if (memcmp (&s->former[0], &s->former[1], sizeof former) > 0)
    {
      memcpy (&former, &s->former[0], sizeof former);
      memcpy (&s->former[0], &s->former[1], sizeof former);
      memcpy (&s->former[1], &former, sizeof former);
    }
}

/* Adds S, a successor of the current node, unless it was visited before.  */
static void
add_successor (struct search *search, struct state *s, const char *step)
{
  uint32_t *slot;
  struct node *node;

  reduce (search, s);
  if (!insert_slot (search, s, &slot))
    return;
  cr_assert_lt (search->count, STATES_MAX, "the model is too large");
  node = &search->nodes[search->count++];
  memcpy (&node->state, s, sizeof *s);
  node->parent = search->current;
  node->step = step;
  *slot = search->count;
  search->witnessed[s->told] = true;
  if (s->gate.effect[2] > 0 && s->row.log.ending == DONE)
    search->witnessed_second_run = true;
  if (search->violation != NULL)
    return;
  search->violation = find_violation (s);
  search->violating = search->count - 1;
}

/* A write is applied if the row still has the version that the writer
   read.  */
static bool
write_applies (const struct search *search, const struct state *s,
               uint8_t version)
{
  return s->row.version == version || search->mutant == NO_CONDITION;
}

static void
apply_write (struct state *s, const struct write *write)
{
  s->row.version++;
  if (write->kind == WRITE_FENCE)
    s->row.fence++;
  s->row.log = write->log;
  /* Writes conditional on the previous version can no longer be applied.  */
  memset (s->former, 0, sizeof s->former);
}

static bool
fence_is_left (const struct state *s, const struct write *write)
{
  return write->kind != WRITE_FENCE || s->row.fence < FENCE_MAX;
}

static void
store_steps (struct search *search, const struct state *from)
{
  for (int i = 0; i < OWNERS; i++)
    {
      const struct owner *o = &from->owner[i];
      struct state s = *from;

      if (o->pending.kind != WRITE_NONE && !o->applied
          && write_applies (search, from, o->version)
          && fence_is_left (from, &o->pending))
        {
          s.owner[i].applied = 1;
          apply_write (&s, &o->pending);
          add_successor (search, &s, "table: applies a write");
        }
      if (from->former[i].kind != WRITE_NONE
          && fence_is_left (from, &from->former[i]))
        {
          s = *from;
          apply_write (&s, &from->former[i]);
          add_successor (search, &s,
                         "table: applies a write of a previous run");
        }
    }
}

static void
start_write (struct owner *o, enum write_kind kind, struct log log)
{
  o->pending.kind = (uint8_t)kind;
  o->pending.log = log;
}

/* Whether the pending write is an intent.  */
static bool
writes_intent (const struct owner *o)
{
  return o->pending.kind == WRITE_COMMIT
         && o->pending.log.attempt != o->log.attempt;
}

static void
tell_caller (struct state *s, uint8_t ending)
{
  if (s->told == OPEN)
    s->told = ending;
  else if (s->told != ending)
    s->told_again = ending;
}

/* Sends every message that an owner with this log may send.  */
static void
send_allowed (struct state *s, const struct owner *o)
{
  uint8_t k = o->log.attempt;

  if (k == 0)
    return;
  if (o->log.ending != OPEN)
    {
      tell_caller (s, o->log.ending);
      send_bit (s, FORGET_BIT (k, o->fence));
      return;
    }
  if (o->mine)
    send_bit (s, CALL_BIT (k, o->fence, o->log.boot));
  else
    send_bit (s, RECOVER_BIT (o->fence));
  send_bit (s, SEAL_BIT (k, o->fence));
}

static void
owner_write_applied (struct state *s, struct owner *o)
{
  if (o->pending.kind == WRITE_FENCE)
    {
      o->role = OWNER;
      o->fence++;
      o->mine = 0;
    }
  else if (writes_intent (o))
    o->mine = 1;
  o->version++;
  o->applied = 0;
  o->log = o->pending.log;
  memset (&o->pending, 0, sizeof o->pending);
  send_allowed (s, o);
}

/* The owner learns that its write was applied, from the reply or by reading
   the row; the row may have changed again by then.  Repeating an unapplied
   write changes nothing and is not modelled.  */
static void
write_applied_step (struct search *search, const struct state *from, int i)
{
  struct state s = *from;
  struct owner *o = &s.owner[i];
  bool taken = search->mutant == LOST_TAKEN_AS_APPLIED
               && o->pending.kind == WRITE_COMMIT;

  if (o->pending.kind == WRITE_NONE || (!o->applied && !taken))
    return;
  owner_write_applied (&s, o);
  add_successor (search, &s, "owner: learns that its write was applied");
}

static void
takeover_step (struct search *search, const struct state *from, int i)
{
  struct state s = *from;
  struct owner *o = &s.owner[i];

  if (o->role != OUT || s.row.fence >= FENCE_MAX)
    return;
  o->role = FENCING;
  o->version = s.row.version;
  o->fence = s.row.fence;
  o->log = s.row.log;
  start_write (o, WRITE_FENCE, s.row.log);
  add_successor (search, &s, "owner: reads the row, raises the fence");
}

/* The owner crashes and restarts, or learns that it lost the partition.  */
static void
crash_step (struct search *search, const struct state *from, int i)
{
  struct state s = *from;
  struct owner *o = &s.owner[i];

  if (o->role == OUT)
    return;
  if (o->pending.kind != WRITE_NONE && !o->applied
      && o->version == s.row.version)
    {
      if (s.former[i].kind != WRITE_NONE)
        return; /* at most one outstanding write of a previous run per owner */
      s.former[i] = o->pending;
    }
  memset (o, 0, sizeof *o);
  add_successor (search, &s, "owner: crashes and restarts");
}

/* Writes the intent of the next attempt; the boot may be outdated.  */
static void
intent_steps (struct search *search, const struct state *from, int i,
              const char *step)
{
  if (from->owner[i].log.attempt >= ATTEMPTS)
    return;
  for (uint8_t boot = 1; boot <= from->gate.boot; boot++)
    {
      struct state s = *from;
      struct owner *o = &s.owner[i];
      struct log log = { (uint8_t)(o->log.attempt + 1), boot, OPEN };

      start_write (o, WRITE_COMMIT, log);
      if (search->mutant == SEND_BEFORE_COMMIT)
        send_bit (&s, CALL_BIT (log.attempt, o->fence, boot));
      add_successor (search, &s, step);
    }
}

static void
ending_step (struct search *search, const struct state *from, int i,
             enum ending ending, const char *step)
{
  struct state s = *from;
  struct owner *o = &s.owner[i];
  struct log log = o->log;

  log.ending = (uint8_t)ending;
  start_write (o, WRITE_COMMIT, log);
  if (search->mutant == ANSWER_BEFORE_COMMIT)
    tell_caller (&s, log.ending);
  add_successor (search, &s, step);
}

/* The attempt did not run: retries it or refuses the call.  */
static void
not_run_steps (struct search *search, const struct state *from, int i)
{
  intent_steps (search, from, i, "owner: not run; intent of another attempt");
  ending_step (search, from, i, NOT_RUN, "owner: not run; commits not_run");
}

/* Handles replies about the open attempt.  */
static void
answer_steps (struct search *search, const struct state *from, int i)
{
  const struct owner *o = &from->owner[i];
  uint8_t k = o->log.attempt;

  for (int boot = 1; boot <= BOOT_MAX; boot++)
    {
      bool same = boot == o->log.boot;
      bool absent = sent (from, ABSENT_BIT (k, o->fence, boot))
                    && (!o->mine || search->mutant == ABSENT_TRUSTED_FOR_OWN);

      if (sent (from, DONE_BIT (k, boot)))
        ending_step (search, from, i, DONE, "owner: receives done");
      if (sent (from, UNKNOWN_BIT (k, boot)))
        ending_step (search, from, i, UNKNOWN, "owner: receives unknown");
      if (!sent (from, REFUSED_BIT (k, boot)) && !absent)
        continue;
      /* A different boot does not know what the intended boot did.  */
      if (same || search->mutant == REBOOT_TAKEN_AS_NOT_RUN)
        not_run_steps (search, from, i);
      else
        ending_step (search, from, i, UNKNOWN,
                     "owner: a different boot replies");
    }
  if (sent (from, WRONG_BOOT_BIT (k)))
    {
      if (search->mutant == REBOOT_TAKEN_AS_NOT_RUN)
        not_run_steps (search, from, i);
      else
        ending_step (search, from, i, UNKNOWN, "owner: receives wrong_boot");
    }
  if (search->mutant == NO_SEAL && !o->mine)
    intent_steps (search, from, i, "owner: continues without a seal");
}

static void
owner_steps (struct search *search, const struct state *from, int i)
{
  const struct owner *o = &from->owner[i];

  takeover_step (search, from, i);
  crash_step (search, from, i);
  write_applied_step (search, from, i);
  if (o->role != OWNER || o->pending.kind != WRITE_NONE
      || o->log.ending != OPEN)
    return;
  if (o->log.attempt == 0)
    intent_steps (search, from, i, "owner: writes the first intent");
  else
    answer_steps (search, from, i);
}

/* The gate reports the state of attempt K.  */
static void
gate_answer (struct state *s, int k)
{
  struct gate *g = &s->gate;

  switch ((enum entry)g->entry[k])
    {
    case ENTRY_DONE:
      send_bit (s, DONE_BIT (k, g->boot));
      break;
    case ENTRY_UNKNOWN:
      send_bit (s, UNKNOWN_BIT (k, g->boot));
      break;
    case ENTRY_REFUSED:
      send_bit (s, REFUSED_BIT (k, g->boot));
      break;
    case ENTRY_NONE:
    case ENTRY_RUNNING:
    case ENTRY_TOMBSTONE:
      break;
    }
}

static bool
gate_accepts_fence (const struct search *search, struct state *s, int f)
{
  if (f < s->gate.fence)
    return search->mutant == NO_FENCE_CHECK;
  s->gate.fence = (uint8_t)f;
  return true;
}

static void
gate_call (struct search *search, const struct state *from, int k, int f,
           int boot)
{
  struct state s = *from;
  struct gate *g = &s.gate;

  if (boot != g->boot && search->mutant != NO_BOOT_CHECK)
    {
      send_bit (&s, WRONG_BOOT_BIT (k));
      add_successor (search, &s, "gate: CALL for another boot");
      return;
    }
  if (!gate_accepts_fence (search, &s, f))
    return;
  if (g->entry[k] != ENTRY_NONE)
    {
      gate_answer (&s, k);
      add_successor (search, &s, "gate: CALL seen before");
      return;
    }
  /* Refuses the call, for example when overloaded or leaving.  */
  send_bit (&s, REFUSED_BIT (k, g->boot));
  if (search->mutant != REFUSAL_FORGOTTEN)
    g->entry[k] = ENTRY_REFUSED;
  add_successor (search, &s, "gate: refuses CALL");
  s = *from;
  if (f > g->fence)
    g->fence = (uint8_t)f;
  g->entry[k] = ENTRY_RUNNING;
  g->started[k]++;
  add_successor (search, &s, "gate: accepts CALL");
}

static void
gate_seal (struct search *search, const struct state *from, int k, int f)
{
  struct state s = *from;

  if (!gate_accepts_fence (search, &s, f))
    return;
  if (s.gate.entry[k] == ENTRY_NONE)
    {
      send_bit (&s, REFUSED_BIT (k, s.gate.boot));
      if (search->mutant != SEAL_FORGOTTEN)
        s.gate.entry[k] = ENTRY_REFUSED;
    }
  else
    gate_answer (&s, k);
  add_successor (search, &s, "gate: SEAL");
}

static void
gate_recover (struct search *search, const struct state *from, int f)
{
  struct state s = *from;

  if (!gate_accepts_fence (search, &s, f))
    return;
  for (int k = 1; k <= ATTEMPTS; k++)
    {
      gate_answer (&s, k);
      if (s.gate.entry[k] == ENTRY_NONE
          || (s.gate.entry[k] == ENTRY_RUNNING
              && search->mutant == RUNNING_TAKEN_AS_NOT_RUN))
        send_bit (&s, ABSENT_BIT (k, f, s.gate.boot));
    }
  add_successor (search, &s, "gate: RECOVER");
}

static void
gate_forget (struct search *search, const struct state *from, int k, int f)
{
  struct state s = *from;

  if (!gate_accepts_fence (search, &s, f) || s.gate.entry[k] == ENTRY_NONE
      || s.gate.entry[k] == ENTRY_RUNNING)
    return;
  s.gate.entry[k] = search->mutant == FORGET_WITHOUT_TOMBSTONE
                        ? ENTRY_NONE
                        : ENTRY_TOMBSTONE;
  add_successor (search, &s, "gate: FORGET");
}

static void
delivery_steps (struct search *search, const struct state *from)
{
  for (int f = 1; f <= FENCE_MAX; f++)
    {
      if (sent (from, RECOVER_BIT (f)))
        gate_recover (search, from, f);
      for (int k = 1; k <= ATTEMPTS; k++)
        {
          if (sent (from, SEAL_BIT (k, f)))
            gate_seal (search, from, k, f);
          if (sent (from, FORGET_BIT (k, f)))
            gate_forget (search, from, k, f);
          for (int boot = 1; boot <= BOOT_MAX; boot++)
            if (sent (from, CALL_BIT (k, f, boot)))
              gate_call (search, from, k, f, boot);
        }
    }
}

/* The worker runs the call, with or without its reply arriving, or the gate
   times out.  */
static void
worker_steps (struct search *search, const struct state *from)
{
  for (int k = 1; k <= ATTEMPTS; k++)
    {
      struct state s = *from;

      if (from->gate.started[k] > 0)
        {
          s.gate.started[k]--;
          s.gate.effect[k]++;
          add_successor (search, &s, "worker: effect, answer lost");
          if (s.gate.entry[k] == ENTRY_RUNNING)
            {
              s.gate.entry[k] = ENTRY_DONE;
              gate_answer (&s, k);
              add_successor (search, &s, "worker: effect and answer");
            }
        }
      s = *from;
      if (from->gate.entry[k] == ENTRY_RUNNING)
        {
          s.gate.entry[k] = search->mutant == SILENCE_TAKEN_AS_NOT_RUN
                                ? ENTRY_REFUSED
                                : ENTRY_UNKNOWN;
          gate_answer (&s, k);
          add_successor (search, &s, "gate: the worker times out");
        }
    }
}

static void
reboot_step (struct search *search, const struct state *from)
{
  struct state s = *from;

  if (s.gate.boot >= BOOT_MAX)
    return;
  s.gate.boot++;
  s.gate.fence = 0;
  memset (s.gate.entry, 0, sizeof s.gate.entry);
  add_successor (search, &s, "gate: restarts without its state");
}

static void
expand (struct search *search)
{
  struct state s;

  memcpy (&s, &search->nodes[search->current].state, sizeof s);
  store_steps (search, &s);
  for (int i = 0; i < OWNERS; i++)
    owner_steps (search, &s, i);
  delivery_steps (search, &s);
  worker_steps (search, &s);
  reboot_step (search, &s);
}

/* Visits every reachable state, or stops at the first violation.  */
static void
run_search (struct search *search, enum mutant mutant)
{
  struct state first;

  search->mutant = mutant;
  search->count = 0;
  search->current = 0;
  search->violation = NULL;
  memset (search->table, 0, HASH_SLOTS * sizeof *search->table);
  memset (search->witnessed, 0, sizeof search->witnessed);
  search->witnessed_second_run = false;
  memset (&first, 0, sizeof first);
  first.gate.boot = 1;
  add_successor (search, &first, "start");
  for (; search->current < search->count && search->violation == NULL;
       search->current++)
    expand (search);
}

static void
print_trace (const struct search *search)
{
  uint32_t path[TRACE_MAX];
  int depth = 0;

  for (uint32_t i = search->violating; i != 0 && depth < TRACE_MAX;
       i = search->nodes[i].parent)
    path[depth++] = i;
  while (depth-- > 0)
    printf ("    %s\n", search->nodes[path[depth]].step);
}

static struct search *
create_search (void)
{
  struct search *search = calloc (1, sizeof *search);

  cr_assert_not_null (search);
  search->nodes = malloc (STATES_MAX * sizeof *search->nodes);
  search->table = malloc (HASH_SLOTS * sizeof *search->table);
  cr_assert (search->nodes != NULL && search->table != NULL);
  return search;
}

static void
destroy_search (struct search *search)
{
  free (search->nodes);
  free (search->table);
  free (search);
}

/* Guards against a non-idempotent call that runs twice, or that is reported as
   not run although it ran, after any interleaving of owner crashes and pauses,
   target restarts, lost store replies and late messages.  The full protocol
   must hold in every state, and each mutant must be caught.  */
Test (protocol_model, every_interleaving, .timeout = 600)
{
  struct search *search = create_search ();
  size_t mutants = sizeof mutant_cases / sizeof mutant_cases[0];
  size_t caught = 0;
  uint32_t states;

  run_search (search, MUTANT_NONE);
  states = search->count;
  if (search->violation != NULL)
    print_trace (search);
  cr_expect_null (search->violation, "%s", search->violation);
  for (int e = DONE; e < ENDINGS; e++)
    cr_expect (search->witnessed[e], "%s was never reported to a caller",
               ending_names[e]);
  cr_expect (search->witnessed_second_run, "no second attempt ever ran");
  for (size_t i = 0; i < mutants; i++)
    {
      run_search (search, mutant_cases[i].mutant);
      caught += search->violation != NULL;
      cr_expect_not_null (search->violation, "not found: %s",
                          mutant_cases[i].name);
      if (getenv ("MODEL_TRACE") != NULL && search->violation != NULL)
        {
          printf ("%s: %s\n", mutant_cases[i].name, search->violation);
          print_trace (search);
        }
    }
  printf ("matrix: model states=%u mutants=%zu caught=%zu\n", states, mutants,
          caught);
  fflush (stdout);
  destroy_search (search);
}
