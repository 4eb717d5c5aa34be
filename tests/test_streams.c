/* test_streams.c - versions of streams: what a host remembers, and what must
   be durable.

   Needs: Criterion, streams.h.  */

#include "core/router/streams.h"
#include <criterion/criterion.h>
#include <stdio.h>

#define ROWS(table) (sizeof (table) / sizeof (table)[0])

/* Guards against a host that resumes a stream at the version of another one,
   and against memory that grows with the streams.  */
Test (streams, the_latest_are_remembered)
{
  struct mq_streams *streams = mq_streams_create (NULL);
  uint64_t version = 0;
  char id[32];

  for (uint32_t i = 0; i < MQ_STREAMS_MAX + 2; i++)
    {
      snprintf (id, sizeof id, "q%u", i);
      mq_streams_put (streams, id, i + 1);
    }
  cr_assert_not (mq_streams_find (streams, "q0", &version));
  cr_assert_not (mq_streams_find (streams, "q1", &version));
  for (uint32_t i = 2; i < MQ_STREAMS_MAX + 2; i++)
    {
      snprintf (id, sizeof id, "q%u", i);
      cr_assert (mq_streams_find (streams, id, &version), "%s", id);
      cr_assert_eq (version, i + 1, "%s", id);
    }
  mq_streams_put (streams, "q2", 7);
  cr_assert (mq_streams_find (streams, "q2", &version));
  cr_assert_eq (version, 7);
  talloc_free (streams);
}

Test (streams, row)
{
  struct mq_stream_row row = { .version = UINT64_MAX, .until_s = 9 };
  struct mq_bytes bytes = mq_stream_row_pack (NULL, &row);
  struct mq_bytes bad = { (uint8_t *)"\377\377", 2 };

  row = (struct mq_stream_row){ 0, 0 };
  cr_assert (mq_stream_row_unpack (bytes, &row));
  cr_assert_eq (row.version, UINT64_MAX);
  cr_assert_eq (row.until_s, 9);
  cr_assert_not (mq_stream_row_unpack (bad, &row));
  cr_assert_eq (row.version, 0);
  talloc_free (bytes.data);
}

struct record_case
{
  const char *name;
  uint64_t version;
  uint64_t program_version;
  bool budgeted;
  enum mq_stream_record record;
};

/* Guards against a stream that other hosts take for one of its program's
   version.  */
Test (streams, what_must_be_durable)
{
  static const struct record_case cases[] = {
    { "version of the program", 1, 1, true, MQ_STREAM_NO_ROW },
    { "another version", 2, 1, true, MQ_STREAM_ROW_FIRST },
    { "record without a version", 2, 0, true, MQ_STREAM_ROW_FIRST },
    { "unknown version", 0, 1, true, MQ_STREAM_ROW_FIRST },
    { "both unknown", 0, 0, true, MQ_STREAM_ROW_FIRST },
    { "no program", 2, 0, false, MQ_STREAM_ROW_BESIDE },
  };

  for (size_t i = 0; i < ROWS (cases); i++)
    cr_assert_eq (mq_stream_record (cases[i].version, cases[i].program_version,
                                    cases[i].budgeted),
                  cases[i].record, "%s", cases[i].name);
}
