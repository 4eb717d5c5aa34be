/* text_keys.h - tables of keys: one row drives parsing, ranges, defaults,
   the help of mimosactl and the check of the documentation.

   The operators' text has one table here, the process settings have theirs
   in src/daemon/settings.c.
   Needs: text_ini.h.  */

#ifndef MQ_TEXT_KEYS_H
#define MQ_TEXT_KEYS_H

#include "text_ini.h"

/* How a value is written and what it is kept as.  */
enum mq_key_type
{
  MQ_KEY_NAME,    /* letters, digits, - and _: const char * */
  MQ_KEY_STRING,  /* const char * of min to max bytes */
  MQ_KEY_LINES,   /* may be given several times, joined: const char * */
  MQ_KEY_PATH,    /* begins with /: const char * */
  MQ_KEY_ADDRESS, /* IP:PORT: const char * */
  MQ_KEY_URL,     /* http://IP:PORT: const char * */
  MQ_KEY_UINT32,  /* min to max */
  MQ_KEY_UINT64,  /* min to max */
  MQ_KEY_YES_NO,  /* bool */
  MQ_KEY_CHOICE,  /* one of the choices: an enumeration */
  MQ_KEY_HEX_32,  /* 64 hexadecimal digits: uint8_t[MQ_KEY_BYTES] */
  MQ_KEY_NAMES    /* names with commas; the owner of the table reads them */
};

struct mq_key_choice
{
  const char *word; /* NULL ends the list */
  int value;
};

#define MQ_KEY_ALL_KINDS UINT32_MAX
#define MQ_KIND_BIT(kind) (1U << (kind))

/**
 * struct mq_key - one key
 * @section: type of its section
 * @name: the key
 * @kinds: kinds of section that have it, MQ_KIND_BIT of each
 * @type: how it is written
 * @required: it has no default
 * @budget: a value out of range is an impossible budget
 * @min: least number, or least bytes
 * @max: greatest number, or most bytes
 * @fallback: default as it would be written, NULL: none
 * @choices: of a CHOICE
 * @offset: of the field in the structure that the section fills
 * @help: what it is, one line
 * @effect: what a change of it does, one line; settings have none
 */
struct mq_key
{
  const char *section;
  const char *name;
  uint32_t kinds;
  enum mq_key_type type;
  bool required;
  bool budget;
  uint64_t min;
  uint64_t max;
  const char *fallback;
  const struct mq_key_choice *choices;
  size_t offset;
  const char *help;
  const char *effect;
};

/**
 * struct mq_key_section - one type of section
 * @type: its first word
 * @shape: how its header is written
 * @named: its header has a name
 * @dotted: the name is SERVICE.NAME
 * @once: exactly one must be there
 * @kinds: names of its kinds in the order of their bits, NULL at the end;
 *         NULL when it has none
 */
struct mq_key_section
{
  const char *type;
  const char *shape;
  bool named;
  bool dotted;
  bool once;
  const char *const *kinds;
};

struct mq_key_table
{
  const struct mq_key *keys; /* 64 at most */
  size_t key_count;
  const struct mq_key_section *sections;
  size_t section_count;
};

/* Table of the operators' text.  */
const struct mq_key_table *mq_text_keys (void);

const struct mq_key *mq_key_find (const struct mq_key_table *table,
                                  const char *section, const char *name);
/* What may be written for KEY, below CTX.  */
char *mq_key_allowed (TALLOC_CTX *ctx, const struct mq_key *key);
/* VALUE of KEY as it would be written, below CTX.  */
char *mq_key_print (TALLOC_CTX *ctx, const struct mq_key *key,
                    const void *target);

/* Checks the headers: types, names, doubled and missing sections.  Gives for
   each section its row, NULL where the header is not usable.  */
const struct mq_key_section **
mq_key_check_headers (TALLOC_CTX *ctx, const struct mq_key_table *table,
                      const struct mq_ini *ini, struct mq_error_list *errors);
/* Fills the fields of TARGET, a structure owned by CTX, from SECTION and the
   defaults of its kind, and lists what is wrong.  KINDS: the bit of its kind;
   all kinds when the kind itself can't be read: then keys of any kind are
   taken, and only those that every kind needs are missed.  NAMES are checked
   by the caller.  */
void mq_key_read_section (TALLOC_CTX *ctx, const struct mq_key_table *table,
                          const struct mq_ini_section *section, uint32_t kinds,
                          void *target, struct mq_error_list *errors);
/* Kinds mask of SECTION by its CHOICE key NAME, all kinds when that key is
   missing or wrong; mq_key_read_section reports it.  */
uint32_t mq_key_section_kinds (const struct mq_key_table *table,
                               const struct mq_ini_section *section,
                               const char *name);
/* A name: letters, digits, - and _, a letter or digit first, 63 at most.  */
bool mq_name_is_valid (const char *name, size_t len);

#define MQ_NAME_ALLOWED "letters, digits, - and _, at most 63"

#endif
