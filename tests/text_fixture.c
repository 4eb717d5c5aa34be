/* text_fixture.c - helpers for tests of configuration texts.

   Needs: text_fixture.h.  */

#include "text_fixture.h"
#include "core/limits.h"
#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

const char *const fixture_examples[]
    = { "examples/diagne.ini",        "examples/zarqa.ini",
        "examples/budget.ini",        "examples/priority.ini",
        "examples/routes.ini",        "examples/sub-agent.ini",
        "examples/organisations.ini", NULL };

char *
fixture_read (TALLOC_CTX *ctx, const char *file, size_t *len)
{
  FILE *stream = fopen (file, "r");
  char *text = talloc_zero_array (ctx, char, MQ_TEXT_MAX_BYTES + 1);

  cr_assert_not_null (stream, "%s (run from the root of the tree)", file);
  *len = fread (text, 1, MQ_TEXT_MAX_BYTES, stream);
  fclose (stream);
  return text;
}

struct mq_text *
fixture_parse (TALLOC_CTX *ctx, const char *source)
{
  struct mq_text_errors errors;
  struct mq_text *text = mq_text_parse (ctx, source, strlen (source), &errors);

  if (text == NULL)
    cr_assert_fail ("line %u: %s: %s", errors.items[0].line,
                    mq_error_name (errors.items[0].type),
                    errors.items[0].subject);
  return text;
}
