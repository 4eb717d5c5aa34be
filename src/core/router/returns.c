/* returns.c - programs that were refused lately, and when they may return.

   Needs: returns.h.  */

#include "returns.h"

/* Programs that are remembered; a further one replaces another.  */
#define PROGRAMS 2048U
#define HASH_RANGE 1000U
#define HASH_MIX 0x9e3779b97f4a7c15ULL

/**
 * struct refused - a program that was refused
 * @id: hash of its id
 * @first_ms: first refusal
 * @known_ms: latest refusal; 0: the entry is free
 */
struct refused
{
  uint64_t id;
  uint64_t first_ms;
  uint64_t known_ms;
};

/**
 * struct mq_returns - refused programs
 * @programs: by hash of the program's id
 */
struct mq_returns
{
  struct refused programs[PROGRAMS];
};

struct mq_returns *
mq_returns_create (TALLOC_CTX *ctx)
{
  return talloc_zero (ctx, struct mq_returns);
}

void
mq_returns_destroy (struct mq_returns *returns)
{
  talloc_free (returns);
}

/* The entry of PROGRAM if it is known, else NULL.  */
static const struct refused *
find (const struct mq_returns *returns, uint64_t program, uint64_t now_ms)
{
  const struct refused *refused = &returns->programs[program % PROGRAMS];

  if (refused->id == program && refused->known_ms > 0
      && now_ms < refused->known_ms + MQ_RETURNS_KNOWN_MS)
    return refused;
  return NULL;
}

void
mq_returns_record (struct mq_returns *returns, uint64_t program,
                   uint64_t now_ms)
{
  const struct refused *refused = find (returns, program, now_ms);

  returns->programs[program % PROGRAMS] = (struct refused){
    .id = program,
    .first_ms = refused != NULL ? refused->first_ms : now_ms,
    .known_ms = now_ms,
  };
}

uint32_t
mq_returns_lost_ms (const struct mq_returns *returns, uint64_t program,
                    uint64_t now_ms)
{
  const struct refused *refused = find (returns, program, now_ms);

  if (refused == NULL)
    return 0;
  if (now_ms <= refused->first_ms)
    return 1;
  return (uint32_t)(now_ms - refused->first_ms);
}

/* Failure: a program that returns when the load has fallen has little time
   left; it is admitted, ends late, and takes the place of one that would
   not.  */
uint32_t
mq_returns_delay_ms (uint64_t program)
{
  /* Admission control uses the low digits of the hash.  */
  uint64_t part = (program * HASH_MIX >> 32) % HASH_RANGE;

  return MQ_RETURNS_MIN_MS
         + (uint32_t)((MQ_RETURNS_MAX_MS - MQ_RETURNS_MIN_MS) * part
                      / HASH_RANGE);
}
