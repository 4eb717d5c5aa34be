/* check_text.c - validate a configuration text and print its errors.

   Needs: mimosaquay.h.  */

#include <mimosaquay.h>
#include <stdio.h>
#include <string.h>

static const char text_with_errors[] = "[site]\n"
                                       "name = demo\n"
                                       "\n"
                                       "[service writer]\n"
                                       "kind = agent\n"
                                       "depends = engine, ledgre\n"
                                       "\n"
                                       "[service engine]\n"
                                       "kind = model\n"
                                       "model = small-1b\n"
                                       "max_tokens = many\n"
                                       "\n"
                                       "[service ledger]\n"
                                       "kind = tool\n"
                                       "path = /v1/ledger\n"
                                       "idempotent = yes\n";

static void
print_error (const struct mq_error *error)
{
  printf ("%u:%u: %s: %s; %s", error->line, error->column,
          mq_error_name (error->type), error->subject,
          mq_error_cause (error->type));
  if (error->allowed[0] != '\0')
    printf ("; %s", error->allowed);
  putchar ('\n');
}

int
main (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct mq_text_errors errors = { 0 };
  const struct mq_text *text = mq_text_parse (
      ctx, text_with_errors, strlen (text_with_errors), &errors);

  if (text != NULL)
    printf ("%zu services, no errors\n", text->service_count);
  for (size_t i = 0; i < errors.count; i++)
    print_error (&errors.items[i]);
  talloc_free (ctx);
  return text == NULL && errors.count > 0 ? 0 : 1;
}
