/* fuzz_log.c - fuzz target for batches and checkpoints of the partition log.

   Input: 'B' and a packed Batch of records, or 'C' and a packed Checkpoint, as
   stored in the table and the object store.
   Needs: fuzz.h, program.h, id.h, jansson.  */

#include "core/id.h"
#include "core/owner/program.h"
#include "fuzz.h"
#include <jansson.h>
#include <string.h>

FUZZ_MAIN (log)

enum
{
  PROGRAMS_MAX = 8 /* tracked per batch */
};

struct replay
{
  TALLOC_CTX *ctx;
  struct mq_program *programs[PROGRAMS_MAX];
  size_t count;
};

/* Values that determine the next step must be within their ranges.  */
static void
check_state (const struct mq_program *program)
{
  const struct mq_tool_call *call = mq_program_pending (program);

  FUZZ_CHECK (program->mode <= MQ_MODE_SINGLE);
  FUZZ_CHECK (program->state <= MQ_PROGRAM_ENDED);
  FUZZ_CHECK (program->priority < MQ_PRIORITY_COUNT);
  FUZZ_CHECK (program->error < MQ_ERR_COUNT);
  FUZZ_CHECK (program->ran <= MQ_RAN_UNKNOWN);
  /* A program that could not be read must not continue.  */
  FUZZ_CHECK (!program->unreadable
              || (program->state == MQ_PROGRAM_ENDED
                  && program->error != MQ_ERR_NONE));
  FUZZ_CHECK (program->service != NULL && program->organisation != NULL);
  if (mq_program_next (program) == MQ_NEXT_CALL
      && program->mode == MQ_MODE_CHAIN)
    FUZZ_CHECK (call != NULL && call->name != NULL && call->id != NULL
                && call->arguments != NULL);
}

static void
check_texts (TALLOC_CTX *ctx, const struct mq_program *program)
{
  FUZZ_CHECK (mq_program_history (ctx, program) != NULL);
  FUZZ_CHECK (mq_program_model_body (ctx, program, "m", 1, "more") != NULL);
}

/* Packing and unpacking a checkpoint must preserve the program.  */
static void
check_checkpoint (TALLOC_CTX *ctx, const struct mq_program *program)
{
  Mqlog__Program *packed = mq_program_pack (ctx, program);
  size_t len = mqlog__program__get_packed_size (packed);
  uint8_t *bytes = talloc_size (ctx, len + 1);
  Mqlog__Program *read;
  struct mq_program *again;

  mqlog__program__pack (packed, bytes);
  read = mqlog__program__unpack (NULL, len, bytes);
  FUZZ_CHECK (read != NULL);
  again = mq_program_unpack (ctx, read);
  mqlog__program__free_unpacked (read, NULL);
  FUZZ_CHECK (again->state == program->state);
  FUZZ_CHECK (again->message_count == program->message_count);
  FUZZ_CHECK (again->messages_len == program->messages_len);
  FUZZ_CHECK (again->step_count == program->step_count);
  FUZZ_CHECK (again->pending_count == program->pending_count);
  FUZZ_CHECK (mq_program_next (again) == mq_program_next (program));
}

static void
check_program (TALLOC_CTX *ctx, const struct mq_program *program)
{
  check_state (program);
  check_texts (ctx, program);
  check_checkpoint (ctx, program);
}

static struct mq_program *
find_program (const struct replay *replay, struct mq_id id)
{
  for (size_t i = 0; i < replay->count; i++)
    if (mq_id_equal (replay->programs[i]->id, id))
      return replay->programs[i];
  return NULL;
}

/* Replays a record as a takeover does.  */
static void
replay_record (struct replay *replay, const Mqlog__Record *record)
{
  struct mq_id id = { record->hi, record->lo };
  struct mq_program *program = find_program (replay, id);

  if (record->body_case != MQLOG__RECORD__BODY_OPENED && program != NULL)
    mq_program_apply (program, record);
  else if (record->body_case == MQLOG__RECORD__BODY_OPENED && program == NULL
           && replay->count < PROGRAMS_MAX)
    replay->programs[replay->count++]
        = mq_program_open (replay->ctx, id, record->opened);
}

static bool
read_batch (TALLOC_CTX *ctx, const uint8_t *data, size_t len)
{
  struct replay replay = { .ctx = ctx };
  Mqlog__Batch *batch = mqlog__batch__unpack (NULL, len, data);
  bool valid = batch != NULL;

  for (size_t i = 0; valid && i < batch->n_records; i++)
    {
      Mqlog__Record *record = mqlog__record__unpack (
          NULL, batch->records[i].len, batch->records[i].data);

      valid = record != NULL;
      if (valid)
        replay_record (&replay, record);
      mqlog__record__free_unpacked (record, NULL);
    }
  mqlog__batch__free_unpacked (batch, NULL);
  for (size_t i = 0; i < replay.count; i++)
    check_program (ctx, replay.programs[i]);
  return valid && replay.count > 0;
}

static bool
read_checkpoint (TALLOC_CTX *ctx, const uint8_t *data, size_t len)
{
  Mqlog__Checkpoint *checkpoint = mqlog__checkpoint__unpack (NULL, len, data);
  bool accepted = checkpoint != NULL && checkpoint->n_programs > 0;

  for (size_t i = 0; accepted && i < checkpoint->n_programs; i++)
    check_program (ctx, mq_program_unpack (ctx, checkpoint->programs[i]));
  mqlog__checkpoint__free_unpacked (checkpoint, NULL);
  return accepted;
}

bool
fuzz_log (const uint8_t *data, size_t len)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  bool accepted = false;

  if (len > 0 && data[0] == 'B')
    accepted = read_batch (ctx, data + 1, len - 1);
  else if (len > 0 && data[0] == 'C')
    accepted = read_checkpoint (ctx, data + 1, len - 1);
  talloc_free (ctx);
  return accepted;
}
