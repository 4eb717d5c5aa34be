/* capacity_text.c - cost of parsing the operators' text and the host list by
   size.

   Needs: capacity.h, text.h, jansson.  */

#include "capacity.h"
#include "core/text/text.h"
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  NS_PER_US = 1000
};

static char *
create_text (TALLOC_CTX *ctx, uint32_t organisations)
{
  char *text = talloc_strdup (ctx, "[site]\nname = capacity\n");

  for (uint32_t i = 0; i < organisations; i++)
    text = talloc_asprintf_append_buffer (
        text,
        "[organisation o%u]\nkey_sha256 = %064x\nweight = 4\n"
        "max_programs = 500\n",
        i, i + 1);
  return text;
}

static void
run_text (TALLOC_CTX *ctx)
{
  static const uint32_t sizes[] = { 10, 100, 1000, 8000 };
  struct capacity_series *bytes
      = capacity_series_create (ctx, "text.size", "organisations", "bytes");
  struct capacity_series *time = capacity_series_create (
      ctx, "text.parse", "organisations", "us a text");
  struct capacity_series *memory = capacity_series_create (
      ctx, "text.memory", "organisations", "bytes of memory");

  for (size_t i = 0; i < sizeof sizes / sizeof sizes[0]; i++)
    for (int repeat = 0; repeat < CAPACITY_REPEATS; repeat++)
      {
        TALLOC_CTX *scratch = talloc_new (NULL);
        char *text = create_text (scratch, sizes[i]);
        struct mq_text_errors errors = { 0 };
        uint64_t start = capacity_cpu_ns ();
        struct mq_text *parsed
            = mq_text_parse (scratch, text, strlen (text), &errors);
        uint64_t took = capacity_cpu_ns () - start;

        if (parsed == NULL)
          printf ("text: refused with %u organisations\n", sizes[i]);
        else
          capacity_series_add (memory, sizes[i],
                               (double)capacity_memory (parsed));
        capacity_series_add (bytes, sizes[i], (double)strlen (text));
        capacity_series_add (time, sizes[i], (double)took / NS_PER_US);
        talloc_free (scratch);
      }
  capacity_series_print (bytes);
  capacity_series_print (time);
  capacity_series_print (memory);
}

static char *
create_list (TALLOC_CTX *ctx, uint32_t hosts)
{
  char *text = talloc_strdup (ctx, "{\"hosts\":[");

  for (uint32_t i = 0; i < hosts; i++)
    text = talloc_asprintf_append_buffer (
        text,
        "%s{\"name\":\"target-%u\",\"role\":\"target\","
        "\"data_centre\":\"dc-%u\",\"region\":\"r%u\","
        "\"address\":\"10.0.%u.%u:7000\",\"http\":\"10.0.%u.%u:8080\","
        "\"leaving\":false}",
        i == 0 ? "" : ",", i, i % 12, i % 3, i / 250, i % 250, i / 250,
        i % 250);
  return talloc_asprintf_append_buffer (text, "]}");
}

/* JSON parsing only; owner.targets.list_us includes the owner's processing. */
static void
run_list (TALLOC_CTX *ctx)
{
  static const uint32_t sizes[] = { 10, 100, 1000, 7100 };
  struct capacity_series *bytes
      = capacity_series_create (ctx, "list.size", "hosts", "bytes");
  struct capacity_series *time
      = capacity_series_create (ctx, "list.json", "hosts", "us a list");

  for (size_t i = 0; i < sizeof sizes / sizeof sizes[0]; i++)
    for (int repeat = 0; repeat < CAPACITY_REPEATS; repeat++)
      {
        char *text = create_list (ctx, sizes[i]);
        uint64_t start = capacity_cpu_ns ();

        json_decref (json_loads (text, 0, NULL));
        capacity_series_add (time, sizes[i],
                             (double)(capacity_cpu_ns () - start) / NS_PER_US);
        capacity_series_add (bytes, sizes[i], (double)strlen (text));
      }
  capacity_series_print (bytes);
  capacity_series_print (time);
}

void
capacity_run_text (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);

  run_text (ctx);
  run_list (ctx);
  talloc_free (ctx);
}
