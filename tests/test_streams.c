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

struct service_row_case
{
  const char *name;
  size_t count;
  uint64_t versions[3];
  uint64_t sole;
};

/* Failure: a service's row of several versions, or of an unknown one, is taken
   for that of one version.  */
Test (streams, row_of_a_service)
{
  static const struct service_row_case cases[] = {
    { "one", 1, { 7 }, 7 },
    { "two", 2, { 7, 8 }, 0 },
    { "one twice", 2, { 7, 7 }, 7 },
    { "unknown", 1, { 0 }, 0 },
    { "one and unknown", 2, { 7, 0 }, 0 },
  };

  for (size_t i = 0; i < ROWS (cases); i++)
    {
      struct mq_service_row row = { .count = 0 };
      struct mq_bytes bytes;

      for (size_t k = 0; k < cases[i].count; k++)
        cr_assert (mq_service_row_add (&row, cases[i].versions[k], k));
      bytes = mq_service_row_pack (NULL, &row);
      row = (struct mq_service_row){ .count = 0 };
      cr_assert (mq_service_row_unpack (bytes, &row), "%s", cases[i].name);
      cr_assert_eq (mq_service_row_sole (&row), cases[i].sole, "%s",
                    cases[i].name);
      cr_assert (mq_service_row_has (&row, cases[i].versions[0]), "%s",
                 cases[i].name);
      talloc_free (bytes.data);
    }
}

/* Failure: a row that can't be read names some version.  */
Test (streams, bad_row_of_a_service)
{
  static const char twice[]
      = { 10, 16, 7, 0, 0, 0, 0, 0, 0, 0, 7, 0, 0, 0, 0, 0, 0, 0, '\0' };
  static const struct
  {
    const char *text;
    size_t len;
  } cases[] = { { "", 0 }, { "\377\377", 2 }, { twice, 18 } };
  struct mq_service_row row = { .count = 0 };

  for (size_t i = 0; i < ROWS (cases); i++)
    {
      struct mq_bytes bytes
          = { (uint8_t *)(uintptr_t)cases[i].text, cases[i].len };

      row.count = 1;
      cr_assert_not (mq_service_row_unpack (bytes, &row), "case %zu", i);
      cr_assert_eq (row.count, 0);
    }
  for (uint64_t i = 0; i < MQ_SERVICE_VERSIONS_MAX; i++)
    cr_assert (mq_service_row_add (&row, i + 1, 0));
  cr_assert_not (mq_service_row_add (&row, UINT64_MAX, 0));
  cr_assert (mq_service_row_add (&row, 1, 0));
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

/* Failure: a version that is added to a service's row is taken for one that
   was there when older streams began.  */
Test (streams, versions_settle)
{
  static const struct
  {
    const char *name;
    uint64_t settled_s;
    uint64_t now_s;
    bool settled;
  } cases[] = {
    { "first of its row", MQ_VERSION_SETTLED_FIRST_S, 9, true },
    { "later", 10, 9, false },
    { "now", 10, 10, true },
    { "not told", 0, 9, false },
    { "clock unknown", 10, 0, false },
  };
  struct mq_service_row row = { .count = 0 };

  for (size_t i = 0; i < ROWS (cases); i++)
    cr_assert_eq (mq_version_is_settled (cases[i].settled_s, cases[i].now_s),
                  cases[i].settled, "%s", cases[i].name);
  cr_assert (mq_service_row_add (&row, 7, 0));
  cr_assert (mq_service_row_add (&row, 8, 50));
  cr_assert (mq_service_row_add (&row, 7, 60));
  cr_assert (mq_service_row_add (&row, 8, 70));
  cr_assert_eq (mq_service_row_settled_s (&row, 7), 60);
  cr_assert_eq (mq_service_row_settled_s (&row, 8), 50);
  cr_assert_eq (mq_service_row_settled_s (&row, 9), 0);
  mq_service_row_keep (&row, 8);
  cr_assert_eq (mq_service_row_sole (&row), 8);
  cr_assert_eq (mq_service_row_settled_s (&row, 8), 50);
  mq_service_row_keep (&row, 9);
  cr_assert_eq (row.count, 0);
}

/* Failure: a row of the release before, which tells no times, is taken for one
   whose versions are settled.  */
Test (streams, row_without_times_is_not_settled)
{
  static const char old[] = { 10, 8, 7, 0, 0, 0, 0, 0, 0, 0, '\0' };
  struct mq_bytes bytes = { (uint8_t *)(uintptr_t)old, 10 };
  struct mq_service_row row;

  cr_assert (mq_service_row_unpack (bytes, &row));
  cr_assert (mq_service_row_has (&row, 7));
  cr_assert_eq (mq_service_row_settled_s (&row, 7), 0);
}

struct start_case
{
  const char *name;
  struct mq_stream_start start;
  bool begins;
  uint64_t version;
};

/* Failure: a stream begins without a row, and other hosts take up another
   version than its own.  */
Test (streams, may_begin)
{
  static const struct start_case cases[] = {
    { "table there", { .budgeted = true }, true, 0 },
    { "no program",
      { .service_row_down = true, .all_recorded = true },
      true,
      0 },
    { "no program, version not named",
      { .service_row_down = true, .recorded_version = 7 },
      true,
      7 },
    { "no program, none named", { .service_row_down = true }, false, 0 },
    { "no program, own row away", { .row_down = true }, true, 0 },
    { "record known",
      { .budgeted = true,
        .row_down = true,
        .service_row_down = true,
        .program_version = 7,
        .program_recorded = true },
      true,
      7 },
    { "record known, not named",
      { .budgeted = true,
        .row_down = true,
        .service_row_down = true,
        .program_version = 7 },
      false,
      0 },
    { "record unknown, one version",
      { .budgeted = true,
        .row_down = true,
        .service_row_down = true,
        .sole_version = 7,
        .all_recorded = true },
      true,
      7 },
    { "record unknown, several",
      { .budgeted = true,
        .row_down = true,
        .service_row_down = true,
        .all_recorded = true,
        .recorded_version = 7 },
      false,
      0 },
    { "record unknown, nothing heard for long",
      { .budgeted = true,
        .row_down = true,
        .sole_version = 7,
        .blind_ms = MQ_STREAM_BLIND_MAX_MS + 1 },
      false,
      0 },
  };

  for (size_t i = 0; i < ROWS (cases); i++)
    {
      uint64_t version = 99;

      cr_assert_eq (mq_stream_may_begin (&cases[i].start, &version),
                    cases[i].begins, "%s", cases[i].name);
      cr_assert_eq (version, cases[i].version, "%s", cases[i].name);
    }
}
