/* fuzz_text.c - fuzzing of mq_text_parse.

   Needs: fuzz.h, text.h.  */

#include "core/limits.h"
#include "core/text/text.h"
#include "fuzz.h"
#include <string.h>

FUZZ_MAIN (text)

static void
check_errors (const struct mq_text_errors *errors)
{
  FUZZ_CHECK (errors->count > 0 && errors->count <= MQ_TEXT_ERRORS_MAX);
  for (size_t i = 0; i < errors->count; i++)
    FUZZ_CHECK (errors->items[i].type != MQ_ERR_NONE
                && errors->items[i].type < MQ_ERR_COUNT);
}

static void
check_service (const struct mq_text *text, const struct mq_service *service)
{
  FUZZ_CHECK (mq_text_find_service (text, service->name) == service);
  for (size_t i = 0; i < service->depend_count; i++)
    {
      FUZZ_CHECK (service->depends[i] < text->service_count);
      FUZZ_CHECK (mq_text_depends (text, service,
                                   &text->services[service->depends[i]]));
    }
  for (size_t i = 0; i < service->route_count; i++)
    FUZZ_CHECK (mq_text_find_route (service, service->routes[i].name)
                == &service->routes[i]);
}

static void
check_text (const struct mq_text *text)
{
  FUZZ_CHECK (text->site != NULL);
  FUZZ_CHECK (text->partitions > 0 && text->partitions <= MQ_PARTITIONS_MAX);
  for (size_t i = 0; i < text->service_count; i++)
    check_service (text, &text->services[i]);
  for (size_t i = 0; i < text->organisation_count; i++)
    {
      const struct mq_organisation *organisation = &text->organisations[i];

      FUZZ_CHECK (mq_text_find_organisation (text, organisation->name)
                  == organisation);
      FUZZ_CHECK (mq_text_find_key (text, organisation->key_hash)
                  == organisation);
    }
}

bool
fuzz_text (const uint8_t *data, size_t len)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct mq_text_errors errors = { 0 };
  struct mq_text *text = mq_text_parse (ctx, (const char *)data, len, &errors);
  bool accepted = text != NULL;

  if (accepted)
    check_text (text);
  else
    check_errors (&errors);
  talloc_free (ctx);
  return accepted;
}
