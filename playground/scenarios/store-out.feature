Feature: The store is out for ten minutes under load
  Questions need no store and go on. Confirmations cannot be claimed and are refused as not run.

  Scenario: Ten minutes without table and object store
    Given 20 callers confirm bookings over 2 s
    When the store goes out
    And 600 callers ask questions over 5 minutes
    And 600 callers confirm bookings over 5 minutes
    And 30 s pass
    Then each question was answered
    And each confirmation was answered or told that it did not run
    When the store comes back
    And 6 s pass
    And Ayse asks entry-1 to confirm booking "after"
    And 2 s pass
    Then Ayse has the whole answer
    And booking "after" ran 1 time
    When Mehmet asks entry-2 to confirm booking "slot-1"
    And 2 s pass
    Then Mehmet has the whole answer
    And booking "slot-1" ran 1 time
    And all promises hold
