/* host_registry.c - host list of the stand-in platform.

   Needs: host_registry.h.  */

#include "host_registry.h"
#include <stdlib.h>
#include <string.h>

struct mq_host_registry
{
  json_t *actual; /* host by name */
  json_t *visible;
  uint64_t changes;
  uint64_t visible_number;
};

static int
free_registry (struct mq_host_registry *registry)
{
  json_decref (registry->actual);
  json_decref (registry->visible);
  return 0;
}

struct mq_host_registry *
mq_host_registry_create (TALLOC_CTX *ctx)
{
  struct mq_host_registry *registry
      = talloc_zero (ctx, struct mq_host_registry);

  if (registry == NULL)
    abort ();
  registry->actual = json_object ();
  registry->visible = json_object ();
  if (registry->actual == NULL || registry->visible == NULL)
    abort ();
  talloc_set_destructor (registry, free_registry);
  return registry;
}

static bool
is_complete (json_t *host)
{
  const char *name;
  const char *role;
  const char *text;
  int leaving;

  return json_unpack (host, "{s:s,s:s,s:s,s:s,s:s,s:s,s:b !}", "name", &name,
                      "role", &role, "data_centre", &text, "region", &text,
                      "address", &text, "http", &text, "leaving", &leaving)
             == 0
         && name[0] != '\0'
         && (strcmp (role, "entry") == 0 || strcmp (role, "target") == 0);
}

bool
mq_host_registry_set (struct mq_host_registry *registry, const json_t *host)
{
  const char *name = json_string_value (json_object_get (host, "name"));
  json_t *merged;

  if (name == NULL)
    return false;
  merged = json_deep_copy (json_object_get (registry->actual, name));
  if (merged == NULL)
    merged = json_pack ("{s:b}", "leaving", 0);
  if (merged == NULL || json_object_update (merged, (json_t *)host) != 0
      || !is_complete (merged))
    {
      json_decref (merged);
      return false;
    }
  registry->changes++;
  return json_object_set_new (registry->actual, name, merged) == 0;
}

bool
mq_host_registry_remove (struct mq_host_registry *registry, const char *name)
{
  if (json_object_del (registry->actual, name) != 0)
    return false;
  registry->changes++;
  return true;
}

json_t *
mq_host_registry_state (const struct mq_host_registry *registry,
                        uint64_t *number)
{
  *number = registry->changes;
  return json_copy (registry->actual);
}

/* With a varying lag, a newer list can be published before an older one; the
   older one is then ignored.  */
void
mq_host_registry_publish (struct mq_host_registry *registry, json_t *state,
                          uint64_t number)
{
  if (number < registry->visible_number)
    {
      json_decref (state);
      return;
    }
  json_decref (registry->visible);
  registry->visible = state;
  registry->visible_number = number;
}

json_t *
mq_host_registry_answer (const struct mq_host_registry *registry)
{
  json_t *hosts = json_array ();
  void *at = json_object_iter (registry->visible);

  while (at != NULL)
    {
      json_array_append (hosts, json_object_iter_value (at));
      at = json_object_iter_next (registry->visible, at);
    }
  return json_pack ("{s:o}", "hosts", hosts);
}
