Feature: Addresses that are given out once
  Tests and deployments of one machine start their processes at the same
  time, each at an address that it was told.

  Scenario: two deployments look for addresses in the same second
  Neither has started its processes yet, so every port still looks free. Were
  one promised to both, the second process could not listen, and its
  deployment would talk to a stranger that refuses its keys.

    Given another process has taken 16 addresses of a range of 40
    When 16 addresses of the same range are taken here
    Then no address was given out twice

  Scenario: a range is used up
  A pool without free ports says so at once; looking on would hang the test.

    Given a pool of 4 addresses
    When 4 addresses of the pool are taken
    Then one more is refused
