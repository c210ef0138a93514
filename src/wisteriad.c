/* The daemon: one process with the roles that its settings list. */
#include <stdio.h>

int main(void)
{
	return 0;
}
