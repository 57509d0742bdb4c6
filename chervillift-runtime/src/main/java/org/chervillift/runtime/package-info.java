/** What each process needs: settings, events and a supervisor tree, one package each. */
package org.chervillift.runtime;
